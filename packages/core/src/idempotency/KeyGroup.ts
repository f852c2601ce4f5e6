import type Clock from '../types/Clock';
import findReplicas from './findReplicas';
import type KeyMember from './KeyMember';
import type KeyView from './KeyView';
import type LossHorizon from './LossHorizon';

type Revision = KeyView['revision'];
type TimedHorizon = Omit<LossHorizon, 'expiresInMs'> & { readonly untilMs: number };

function isOlder(a: Revision, b: Revision): boolean {
  return a.term < b.term || (a.term === b.term && a.count < b.count);
}

/**
 * Group membership for idempotency records, as seen by one member of a region.
 *
 * Invariants: a member grants claims and acknowledges records only in a view in which it has
 * received a copy from every other member. Messages of another view are accepted only if it has
 * the same members and is not older than the last change of members, so no claim is granted in a
 * view after its records were copied to a newer one.
 */
export default class KeyGroup {
  private currentMembers: readonly KeyMember[] = [];

  private revision: Revision = { term: 0, count: 0 };

  /** Revision of the last membership change. */
  private membershipRevision: Revision = { term: 0, count: 0 };

  /** Start ids of members whose copy has not been received yet. */
  private readonly pendingCopies = new Set<string>();

  /** Start ids of members that are known to have received every copy in the current view. */
  private readonly settledMembers = new Set<string>();

  /**
   * Membership of each view since all members were last settled. Replicas may still be placed
   * according to any of them.
   */
  private unsettledMemberships: (readonly KeyMember[])[] = [];

  private horizons: TimedHorizon[] = [];

  private hasHistory: boolean;

  /**
   * @param startId - start id of this member
   * @param windowMs - retention time of keys, in milliseconds
   * @param clock - monotonic clock
   * @param isNewSystem - true if no request can have run before this process started
   */
  constructor(
    private readonly startId: string,
    private readonly windowMs: number,
    private readonly clock: Clock,
    isNewSystem: boolean,
  ) {
    this.hasHistory = isNewSystem;
  }

  /** Members of the current view. */
  get members(): readonly KeyMember[] {
    return this.currentMembers;
  }

  /** The current view in the form that is sent to other members. */
  get view(): KeyView {
    return {
      revision: this.revision,
      members: this.currentMembers.map((member) => member.startId).sort().join(' '),
    };
  }

  /** Whether this member has the records from before its start, or knows that there are none. */
  get isInformed(): boolean {
    return this.hasHistory;
  }

  /** Whether this member has received a copy from every other member of the view. */
  get isSettled(): boolean {
    return this.pendingCopies.size === 0
      && this.currentMembers.some(({ startId }) => startId === this.startId);
  }

  /** Whether every member of the view is known to have received every copy. */
  get isWhole(): boolean {
    return this.currentMembers.every(({ startId }) => this.settledMembers.has(startId));
  }

  /** Members whose copy has not been received yet. */
  get pendingMembers(): KeyMember[] {
    return this.currentMembers.filter(({ startId }) => this.pendingCopies.has(startId));
  }

  /**
   * Installs a new view.
   *
   * @param members - the members of the region
   * @param revision - revision of the view
   * @param isContinuous - true if no member of the region joined or left since the last view
   */
  change(members: readonly KeyMember[], revision: Revision, isContinuous: boolean): void {
    this.revision = revision;
    if (isContinuous) return;
    this.membershipRevision = revision;
    const remaining = new Set(members.map(({ startId }) => startId));
    this.unsettledMemberships.forEach((formerMembers) => {
      const lost = formerMembers.map(({ startId }) => startId).filter((id) => !remaining.has(id));
      if (lost.length > 0) this.addHorizon(formerMembers, lost, this.windowMs);
    });
    this.currentMembers = members;
    this.unsettledMemberships.push(members);
    this.settledMembers.clear();
    this.pendingCopies.clear();
    remaining.forEach((id) => this.pendingCopies.add(id));
    this.pendingCopies.delete(this.startId);
    this.settleIfCopied();
  }

  /**
   * Returns whether a message from another member may be processed in the current view.
   *
   * @param view - the sender's view
   * @returns true if the view has the same members and is not older than their last change
   */
  accepts(view: KeyView): boolean {
    return view.members === this.view.members && !isOlder(view.revision, this.membershipRevision);
  }

  /**
   * Records that the copy of a member has been received.
   *
   * @param startId - start id of the member
   * @param horizons - losses of records that the member knows of
   * @param isInformed - whether the member has the records from before its start
   */
  receiveCopy(startId: string, horizons: readonly LossHorizon[], isInformed: boolean): void {
    this.pendingCopies.delete(startId);
    this.hasHistory ||= isInformed;
    horizons.forEach(({ members, lost, expiresInMs }) => {
      this.addHorizon(members, lost, Math.min(expiresInMs, this.windowMs));
    });
    this.settleIfCopied();
  }

  /**
   * Records that a member has received every copy in the current view.
   *
   * @param startId - start id of the member
   */
  markSettled(startId: string): void {
    this.settledMembers.add(startId);
    if (this.isWhole) this.unsettledMemberships = [this.currentMembers];
  }

  /**
   * Drops expired losses and lists the remaining ones.
   *
   * @returns the losses of records that this member knows of
   */
  describeHorizons(): LossHorizon[] {
    const nowMs = this.clock();
    this.horizons = this.horizons.filter(({ untilMs }) => untilMs > nowMs);
    return this.horizons.map(({ members, lost, untilMs }) => (
      { members: [...members], lost: [...lost], expiresInMs: untilMs - nowMs }
    ));
  }

  /**
   * Returns whether a key may have had a record that was lost with all its replicas.
   *
   * @param key - a key without a record
   * @returns true if every replica of the key was lost in the same loss
   */
  mayBeLost(key: string): boolean {
    return this.describeHorizons().some(({ members, lost }) => (
      findReplicas(key, members).every(({ startId }) => lost.includes(startId))
    ));
  }

  private settleIfCopied(): void {
    if (!this.isSettled) return;
    this.markSettled(this.startId);
    if (this.hasHistory) return;
    // No member has the records from before its start, so any key may have run.
    this.addHorizon([], [], this.windowMs);
    this.hasHistory = true;
  }

  private addHorizon(
    members: readonly KeyMember[],
    lost: readonly string[],
    remainingMs: number,
  ): void {
    const id = [...lost].sort().join(' ');
    const isKnown = this.horizons.some((known) => (
      [...known.lost].sort().join(' ') === id && known.members.length === members.length
    ));
    if (isKnown) return;
    this.horizons.push({
      members: [...members], lost: [...lost], untilMs: this.clock() + remainingMs,
    });
  }
}
