import decideClaim from '@guavayard/core/idempotency/decideClaim';
import findReplicas from '@guavayard/core/idempotency/findReplicas';
import type KeyDecision from '@guavayard/core/idempotency/KeyDecision';
import type KeyGroup from '@guavayard/core/idempotency/KeyGroup';
import type KeyMember from '@guavayard/core/idempotency/KeyMember';
import type KeyRecord from '@guavayard/core/idempotency/KeyRecord';
import type KeyTable from '@guavayard/core/idempotency/KeyTable';
import type KeyView from '@guavayard/core/idempotency/KeyView';

import type VmMessage from '../messages/VmMessage';

type Reply = (decision: KeyDecision) => void;

interface Operation {
  readonly record: KeyRecord;
  readonly pendingBackups: Set<string>;
  readonly reply: Reply;
}

interface KeyOwnerOptions {
  readonly startId: string;
  readonly group: KeyGroup;
  readonly table: KeyTable;
  readonly send: (member: KeyMember, message: VmMessage) => void;
  readonly isAlive: (startId: string) => boolean;
}

/** Decides claims on the keys that this entry owns. */
export default class KeyOwner {
  private readonly operations = new Map<number, Operation>();

  /** Ids of the claims whose records all backups have acknowledged in the current view. */
  private readonly granted = new Set<string>();

  private lastOperationId = 0;

  constructor(private readonly options: KeyOwnerOptions) {}

  /** Discards all acknowledgements of an earlier view. */
  reset(): void {
    this.operations.clear();
    this.granted.clear();
  }

  /**
   * Discards the grant of a claim whose run has ended.
   *
   * @param claimId - id of the claim
   */
  removeGrant(claimId: string): void {
    this.granted.delete(claimId);
  }

  /**
   * Decides a claim, either at once or after all backups have acknowledged its record.
   *
   * @param claimed - record that the claim would create
   * @param reply - called with the decision; not called if the claim has to be retried
   */
  claim(claimed: KeyRecord, reply: Reply): void {
    const { group, table, isAlive } = this.options;
    const [owner] = findReplicas(claimed.key, group.members);
    if (!group.isSettled || owner?.startId !== this.options.startId) {
      reply({ kind: 'unavailable' });
      return;
    }
    const known = table.find(claimed.key);
    if (known !== undefined && known.claimId !== claimed.claimId) {
      reply(decideClaim(known, claimed.fingerprint, isAlive(known.runner)));
      return;
    }
    if (known === undefined && group.mayBeLost(claimed.key)) reply({ kind: 'unknown' });
    else if (!table.store(known ?? claimed)) reply({ kind: 'full' });
    else if (this.granted.has(claimed.claimId)) reply({ kind: 'granted' });
    else this.replicate(known ?? claimed, reply);
  }

  /**
   * Handles the response of a backup, and grants the claim once all backups have stored its record.
   *
   * @param operationId - number of the operation that the backup responds to
   * @param from - start id of the backup
   * @param view - view of the backup
   * @param isAccepted - whether the backup has stored the record
   */
  handleResponse(operationId: number, from: string, view: KeyView, isAccepted: boolean): void {
    const operation = this.operations.get(operationId);
    if (operation === undefined) return;
    if (!isAccepted || !this.options.group.accepts(view)) {
      this.operations.delete(operationId);
      return;
    }
    operation.pendingBackups.delete(from);
    if (operation.pendingBackups.size > 0) return;
    this.operations.delete(operationId);
    this.grant(operation.record, operation.reply);
  }

  private replicate(record: KeyRecord, reply: Reply): void {
    const { group, send } = this.options;
    const backups = findReplicas(record.key, group.members).slice(1);
    if (backups.length === 0) {
      this.grant(record, reply);
      return;
    }
    this.lastOperationId += 1;
    const operationId = this.lastOperationId;
    const pendingBackups = new Set(backups.map(({ startId }) => startId));
    this.operations.set(operationId, { record, pendingBackups, reply });
    backups.forEach((backup) => send(backup, {
      kind: 'keyBackup', operation: operationId, view: group.view, record,
    }));
  }

  private grant(record: KeyRecord, reply: Reply): void {
    this.granted.add(record.claimId);
    reply({ kind: 'granted' });
  }
}
