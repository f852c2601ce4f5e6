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
 * One member's view of the members of its region that keep records.
 *
 * Invariants: a member grants and acknowledges only in a view in which it has copied from every
 * other member; a view is accepted only with the same members and not from before the last
 * change, so no record is granted in a view that a copy has left.
 */
export default class KeyGroup {
  private current: readonly KeyMember[] = [];

  private revision: Revision = { term: 0, count: 0 };

  /** Revision at which the members last changed. */
  private epoch: Revision = { term: 0, count: 0 };

  /** Start ids of members whose copy has not come yet. */
  private readonly missing = new Set<string>();

  /** Start ids of members that are known to have every copy of the current view. */
  private readonly settled = new Set<string>();

  /** The member sets since all members were last settled: copies may still lie as in these. */
  private sets: (readonly KeyMember[])[] = [];

  private horizons: TimedHorizon[] = [];

  private hasHistory: boolean;

  /**
   * @param startId - start id of this member
   * @param windowMs - how long keys are remembered, in milliseconds
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

  /** The members of the view. */
  get members(): readonly KeyMember[] {
    return this.current;
  }

  /** The view as it is told to other members. */
  get view(): KeyView {
    return { revision: this.revision, members: this.current.map((member) => member.startId).sort().join(' ') };
  }

  /** Whether this member knows what happened before it started. */
  get isInformed(): boolean {
    return this.hasHistory;
  }

  /** Whether this member has copied from every other member of the view. */
  get isSettled(): boolean {
    return this.missing.size === 0 && this.current.some(({ startId }) => startId === this.startId);
  }

  /** Whether every member of the view has every copy. */
  get isWhole(): boolean {
    return this.current.every(({ startId }) => this.settled.has(startId));
  }

  /** Members whose copy has not come yet. */
  get sources(): KeyMember[] {
    return this.current.filter(({ startId }) => this.missing.has(startId));
  }

  /**
   * Takes a new view.
   *
   * @param members - the members of the region
   * @param revision - its number
   * @param isContinuous - true if no member of the region joined or left since the last view
   */
  change(members: readonly KeyMember[], revision: Revision, isContinuous: boolean): void {
    this.revision = revision;
    if (isContinuous) return;
    this.epoch = revision;
    const remaining = new Set(members.map(({ startId }) => startId));
    this.sets.forEach((set) => {
      const lost = set.map(({ startId }) => startId).filter((id) => !remaining.has(id));
      if (lost.length > 0) this.addHorizon(set, lost, this.windowMs);
    });
    this.current = members;
    this.sets.push(members);
    this.settled.clear();
    this.missing.clear();
    remaining.forEach((id) => this.missing.add(id));
    this.missing.delete(this.startId);
    this.settle();
  }

  /**
   * @param view - view of another member's message
   * @returns true if the message belongs to the view of this member
   */
  accepts(view: KeyView): boolean {
    return view.members === this.view.members && !isOlder(view.revision, this.epoch);
  }

  /**
   * Notes that the copy of a member has come.
   *
   * @param startId - the member
   * @param horizons - the losses that it knows of
   * @param isInformed - whether it knows what happened before it started
   */
  takeCopy(startId: string, horizons: readonly LossHorizon[], isInformed: boolean): void {
    this.missing.delete(startId);
    this.hasHistory ||= isInformed;
    horizons.forEach(({ members, lost, expiresInMs }) => {
      this.addHorizon(members, lost, Math.min(expiresInMs, this.windowMs));
    });
    this.settle();
  }

  /**
   * Notes that a member has every copy of the current view.
   *
   * @param startId - the member
   */
  noteSettled(startId: string): void {
    this.settled.add(startId);
    if (this.isWhole) this.sets = [this.current];
  }

  /** @returns the losses that this member knows of */
  describeHorizons(): LossHorizon[] {
    const nowMs = this.clock();
    this.horizons = this.horizons.filter(({ untilMs }) => untilMs > nowMs);
    return this.horizons.map(({ members, lost, untilMs }) => (
      { members: [...members], lost: [...lost], expiresInMs: untilMs - nowMs }
    ));
  }

  /**
   * @param key - a key without a record
   * @returns true if a record of it may have been lost
   */
  mayBeLost(key: string): boolean {
    return this.describeHorizons().some(({ members, lost }) => (
      findReplicas(key, members).every(({ startId }) => lost.includes(startId))
    ));
  }

  private settle(): void {
    if (!this.isSettled) return;
    this.noteSettled(this.startId);
    if (this.hasHistory) return;
    // Nobody knows what ran before: every key may have.
    this.addHorizon([], [], this.windowMs);
    this.hasHistory = true;
  }

  private addHorizon(members: readonly KeyMember[], lost: readonly string[], leftMs: number): void {
    const id = [...lost].sort().join(' ');
    const isKnown = this.horizons.some((known) => (
      [...known.lost].sort().join(' ') === id && known.members.length === members.length
    ));
    if (isKnown) return;
    this.horizons.push({ members: [...members], lost: [...lost], untilMs: this.clock() + leftMs });
  }
}
