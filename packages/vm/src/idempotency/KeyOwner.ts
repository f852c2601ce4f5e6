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
  readonly waiting: Set<string>;
  readonly reply: Reply;
}

interface KeyOwnerOptions {
  readonly startId: string;
  readonly group: KeyGroup;
  readonly table: KeyTable;
  readonly send: (member: KeyMember, message: VmMessage) => void;
  readonly isAlive: (startId: string) => boolean;
}

/** Decides the claims on the keys that this entry owns. */
export default class KeyOwner {
  private readonly operations = new Map<number, Operation>();

  /** Claims whose record every backup has acknowledged in the current view. */
  private readonly granted = new Set<string>();

  private operationCount = 0;

  constructor(private readonly options: KeyOwnerOptions) {}

  /** Forgets what was acknowledged in an earlier view. */
  reset(): void {
    this.operations.clear();
    this.granted.clear();
  }

  /**
   * Forgets a claim whose run has ended.
   *
   * @param claimId - the claim
   */
  forget(claimId: string): void {
    this.granted.delete(claimId);
  }

  /**
   * Decides a claim, at once or after the backups have acknowledged its record.
   *
   * @param claimed - the record that the claim would make
   * @param reply - told of each decision; not called where the claim has to be sent again
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
    else this.backUp(known ?? claimed, reply);
  }

  /**
   * Takes the answer of a backup.
   *
   * @param number - number of the operation
   * @param from - start id of the backup
   * @param view - view of the backup
   * @param isAccepted - whether it has stored the record
   */
  takeBackedUp(number: number, from: string, view: KeyView, isAccepted: boolean): void {
    const operation = this.operations.get(number);
    if (operation === undefined) return;
    if (!isAccepted || !this.options.group.accepts(view)) {
      this.operations.delete(number);
      return;
    }
    operation.waiting.delete(from);
    if (operation.waiting.size > 0) return;
    this.operations.delete(number);
    this.grant(operation.record, operation.reply);
  }

  private backUp(record: KeyRecord, reply: Reply): void {
    const { group, send } = this.options;
    const backups = findReplicas(record.key, group.members).slice(1);
    if (backups.length === 0) {
      this.grant(record, reply);
      return;
    }
    this.operationCount += 1;
    const number = this.operationCount;
    const waiting = new Set(backups.map(({ startId }) => startId));
    this.operations.set(number, { record, waiting, reply });
    backups.forEach((backup) => send(backup, {
      kind: 'keyBackup', operation: number, view: group.view, record,
    }));
  }

  private grant(record: KeyRecord, reply: Reply): void {
    this.granted.add(record.claimId);
    reply({ kind: 'granted' });
  }
}
