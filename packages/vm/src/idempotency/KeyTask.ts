import type { Result } from 'ts-results';

import fail from '@guavayard/core/errors/fail';
import type Failure from '@guavayard/core/errors/Failure';
import findKeyRegion from '@guavayard/core/idempotency/findKeyRegion';
import findReplicas from '@guavayard/core/idempotency/findReplicas';
import type KeyClaim from '@guavayard/core/idempotency/KeyClaim';
import KeyGroup from '@guavayard/core/idempotency/KeyGroup';
import type KeyKeeper from '@guavayard/core/idempotency/KeyKeeper';
import type KeyMember from '@guavayard/core/idempotency/KeyMember';
import type KeyOutcome from '@guavayard/core/idempotency/KeyOutcome';
import type KeyRecord from '@guavayard/core/idempotency/KeyRecord';
import KeyTable from '@guavayard/core/idempotency/KeyTable';
import type StoredAnswer from '@guavayard/core/idempotency/StoredAnswer';

import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import type VmIdentity from '../session/VmIdentity';
import type VmSession from '../session/VmSession';
import KeyClaimant from './KeyClaimant';
import KeyOwner from './KeyOwner';
import type KeyTaskOptions from './KeyTaskOptions';

const TICK_MS = 50;

type MessageOf<Kind extends VmMessage['kind']> = Extract<VmMessage, { kind: Kind }>;
type View = KeyGroup['view'];

/** Stores idempotency records as owner and as backup, and claims keys on behalf of this entry. */
export default class KeyTask implements SessionHandler, KeyKeeper {
  private readonly table: KeyTable;

  private group: KeyGroup | undefined;

  private owner: KeyOwner | undefined;

  private entries: readonly VmIdentity[] = [];

  private readonly claimants = new Map<string, KeyClaimant>();

  private readonly timer: NodeJS.Timeout;

  constructor(private readonly options: KeyTaskOptions) {
    this.table = new KeyTable(options.clock);
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  /** Whether this entry has received all copies of the current view. */
  get isSettled(): boolean {
    return this.group?.isSettled ?? false;
  }

  /** Whether every member is known to have received all copies of the current view. */
  get isWhole(): boolean {
    return this.group?.isWhole ?? false;
  }

  /** Stops expiring records and requesting copies. */
  close(): void {
    clearInterval(this.timer);
  }

  /**
   * Applies a new view of the entries.
   *
   * @param entries - all entries that hold a lease
   * @param revision - revision of the view
   * @param isContinuous - true if it is certain that no entry of the own region joined or left
   */
  updateEntries(
    entries: readonly VmIdentity[],
    revision: View['revision'],
    isContinuous: boolean,
  ): void {
    this.entries = entries;
    const group = this.group ?? this.createGroup();
    const members = this.membersOf(this.options.identity.region);
    group.change(members, revision, isContinuous);
    if (isContinuous) return;
    this.owner?.reset();
    this.tick();
  }

  claim(
    claim: KeyClaim,
    onDecision: (decision: Result<StoredAnswer | undefined, Failure>) => void,
  ): (outcome: KeyOutcome) => void {
    const { clock, identity, windowMs } = this.options;
    const current = this.options.configuration();
    const region = current && findKeyRegion(current.configuration, claim.match, claim.key);
    if (region === undefined) {
      queueMicrotask(() => onDecision(fail('keyUnavailable')));
      return () => undefined;
    }
    const record = (): KeyRecord => ({
      key: claim.key,
      fingerprint: claim.fingerprint,
      claimId: claim.claimId,
      runner: identity.startId,
      state: 'pending',
      expiresInMs: windowMs,
      runLeftMs: claim.deadlineMs - clock(),
    });
    const replicas = (): KeyMember[] => findReplicas(claim.key, this.membersOf(region));
    const reportOutcome = (outcome: KeyOutcome): void => replicas().forEach((replica) => {
      this.deliver(replica, {
        kind: 'keyOutcome', key: claim.key, claimId: claim.claimId, outcome,
      });
    });
    const claimant = new KeyClaimant(clock, claim.deadlineMs, () => {
      replicas().slice(0, 1).forEach((owner) => this.deliver(owner, { kind: 'keyClaim', record: record() }));
    }, (decision) => {
      this.claimants.delete(claim.claimId);
      // The owner may hold a record of this abandoned claim.
      if (decision.err && decision.val.kind === 'keyUnavailable') reportOutcome({ kind: 'notRun' });
      onDecision(decision);
    });
    this.claimants.set(claim.claimId, claimant);
    queueMicrotask(() => claimant.start());
    return reportOutcome;
  }

  onOpen(): void {}

  onMessage(session: VmSession, message: VmMessage): void {
    const name = session.peer?.name;
    const from = this.entries.find((entry) => entry.name === name) ?? session.peer;
    if (from !== undefined) this.receive(from, message);
  }

  onClose(): void {}

  private receive(from: KeyMember, message: VmMessage): void {
    if (message.kind === 'keyClaim') this.handleClaim(from, message);
    if (message.kind === 'keyDecision') this.claimants.get(message.claimId)?.handleDecision(message.decision);
    if (message.kind === 'keyOutcome') this.handleOutcome(message);
    if (message.kind === 'keyBackup') this.handleBackup(from, message);
    if (message.kind === 'keyBackedUp') this.handleBackedUp(from, message);
    if (message.kind === 'keyCopyRequest') this.sendCopy(from, message.view);
    if (message.kind === 'keyCopy') this.handleCopy(message);
    if (message.kind === 'keySettled') this.handleSettled(from, message);
  }

  /**
   * Whether this entry holds the lease. Without it, the entry may have been replaced as a member,
   * so it grants and acknowledges nothing.
   */
  private get hasLease(): boolean {
    return this.options.configuration() !== undefined;
  }

  private isInView(view: View): boolean {
    return this.group?.accepts(view) ?? false;
  }

  private handleClaim(from: KeyMember, { record }: MessageOf<'keyClaim'>): void {
    if (!this.hasLease) return;
    this.owner?.claim(record, (decision) => {
      this.deliver(from, { kind: 'keyDecision', claimId: record.claimId, decision });
    });
  }

  private handleBackup(from: KeyMember, message: MessageOf<'keyBackup'>): void {
    const { group, table } = this;
    if (group === undefined) return;
    const known = table.find(message.record.key);
    const isSame = known === undefined || known.claimId === message.record.claimId;
    const isReady = this.hasLease && group.isSettled && group.accepts(message.view);
    const isAccepted = isReady && isSame && table.store(known ?? message.record);
    const { operation } = message;
    this.deliver(from, {
      kind: 'keyBackedUp', operation, view: group.view, isAccepted,
    });
  }

  private handleBackedUp(from: KeyMember, message: MessageOf<'keyBackedUp'>): void {
    if (!this.hasLease) return;
    const { operation, view, isAccepted } = message;
    this.owner?.handleResponse(operation, from.startId, view, isAccepted);
  }

  private handleOutcome({ key, claimId, outcome }: MessageOf<'keyOutcome'>): void {
    const known = this.table.find(key);
    if (known?.claimId !== claimId || known.state !== 'pending') return;
    this.owner?.removeGrant(claimId);
    if (outcome.kind === 'notRun') this.table.remove(key);
    if (outcome.kind === 'unknown') this.table.store({ ...known, state: 'unknown' });
    if (outcome.kind === 'done') {
      this.table.store({ ...known, state: 'done', answer: outcome.answer });
    }
  }

  private sendCopy(from: KeyMember, view: View): void {
    const { group } = this;
    if (!group?.accepts(view)) return;
    const records = this.table.all().filter(({ key }) => (
      findReplicas(key, group.members).some(({ startId }) => startId === from.startId)
    ));
    this.deliver(from, {
      kind: 'keyCopy',
      view: group.view,
      startId: this.options.identity.startId,
      records,
      horizons: group.describeHorizons(),
      isInformed: group.isInformed,
    });
  }

  private handleCopy(message: MessageOf<'keyCopy'>): void {
    if (!this.isInView(message.view)) return;
    message.records.forEach((record) => this.merge(record));
    this.group?.receiveCopy(message.startId, message.horizons, message.isInformed);
    this.tick();
  }

  private handleSettled(from: KeyMember, message: MessageOf<'keySettled'>): void {
    const { group } = this;
    if (!group?.accepts(message.view)) return;
    group.markSettled(message.startId);
    // A member that knows all others to be settled no longer sends this message periodically, and
    // the sender may have missed it.
    if (!message.isWhole && group.isWhole) this.sendSettled(group, from);
  }

  private sendSettled(group: KeyGroup, to: KeyMember): void {
    const { view, isWhole } = group;
    const { startId } = this.options.identity;
    this.deliver(to, {
      kind: 'keySettled', view, startId, isWhole,
    });
  }

  private merge(record: KeyRecord): void {
    const known = this.table.find(record.key);
    if (known === undefined || known.state === 'pending') this.table.store(record);
  }

  private tick(): void {
    this.table.expire();
    const { group } = this;
    if (group === undefined) return;
    const { view } = group;
    group.pendingMembers.forEach((member) => this.deliver(member, { kind: 'keyCopyRequest', view }));
    if (!group.isSettled || group.isWhole) return;
    const { startId } = this.options.identity;
    group.members.filter((member) => member.startId !== startId)
      .forEach((member) => this.sendSettled(group, member));
  }

  private createGroup(): KeyGroup {
    const { identity, clock, windowMs } = this.options;
    // No request can have run before the first configuration was accepted.
    const isNewSystem = this.options.configuration()?.version === 0;
    const group = new KeyGroup(identity.startId, windowMs, clock, isNewSystem);
    this.group = group;
    this.owner = new KeyOwner({
      startId: identity.startId,
      group,
      table: this.table,
      send: (member, message) => this.deliver(member, message),
      isAlive: (startId) => this.entries.some((entry) => entry.startId === startId),
    });
    return group;
  }

  private membersOf(region: string): KeyMember[] {
    return this.entries.filter((entry) => entry.region === region)
      .map(({ name, startId, dataCentre }) => ({ name, startId, dataCentre }));
  }

  private deliver(to: KeyMember, message: VmMessage): void {
    if (to.startId === this.options.identity.startId) {
      this.receive(to, message);
      return;
    }
    const entry = this.entries.find(({ startId }) => startId === to.startId);
    if (entry !== undefined) this.options.send(entry, message);
  }
}
