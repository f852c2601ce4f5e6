import placementLimits from './placementLimits';
import type RosterSpan from './RosterSpan';

/**
 * What an entry has recently known of the entries that share limits with it. Rosters reach entries
 * at different moments, and an entry that control has lost is dropped from those of the others: a
 * share that fits every recent roster keeps a limit meanwhile.
 */
export default class RosterHistory {
  private spans: RosterSpan[] = [];

  private isFollowing = false;

  /** When this entry last stopped following control; undefined once it has a roster again. */
  private lostAtMs: number | undefined;

  private seenAtMs: number;

  /** @param startedAtMs - start of the process, on a monotonic clock that counts suspends */
  constructor(private readonly startedAtMs: number) {
    this.seenAtMs = startedAtMs;
  }

  /**
   * Records a roster.
   *
   * @param entryNames - names of the entries
   * @param nowMs - monotonic clock that counts suspends
   */
  setEntries(entryNames: readonly string[], nowMs: number): void {
    this.observe(nowMs);
    if (this.isFollowing) this.lostAtMs = undefined;
    if (this.spans.length === 0) this.push(entryNames, 'starting', this.startedAtMs);
    this.push(entryNames, this.lostAtMs === undefined ? 'settled' : 'lost', nowMs);
  }

  /** Records whether this entry follows control. */
  setFollowing(isFollowing: boolean, nowMs: number): void {
    this.observe(nowMs);
    this.isFollowing = isFollowing;
    if (!isFollowing) this.lostAtMs ??= nowMs;
  }

  /** Records that the process runs; called at least once a second. */
  observe(nowMs: number): void {
    const last = this.spans.at(-1);
    const { seenAtMs, lostAtMs } = this;
    this.seenAtMs = nowMs;
    if (last === undefined) return;
    const { entryNames } = last;
    const lostMs = placementLimits.rosterLostMs;
    const isLost = lostAtMs !== undefined && nowMs - lostAtMs >= lostMs;
    // Control may have dropped this entry while its process stood still.
    if (nowMs - seenAtMs >= lostMs) this.push(entryNames, 'lost', seenAtMs);
    this.push(entryNames, isLost ? 'lost' : 'settled', nowMs);
    const since = nowMs - placementLimits.rosterSettleMs;
    this.spans = this.spans.filter((_span, index) => (
      (this.spans[index + 1]?.sinceMs ?? Infinity) > since));
  }

  /**
   * Returns what this entry knew in the last seconds.
   *
   * @param nowMs - monotonic clock that counts suspends
   * @returns the spans, the newest last; none right after the start, as the process before it may
   *   just have sent what the limits allow
   */
  findRecent(nowMs: number): readonly RosterSpan[] {
    this.observe(nowMs);
    return nowMs - this.startedAtMs < placementLimits.coldWindowMs ? [] : this.spans;
  }

  private push(
    entryNames: readonly string[],
    membership: RosterSpan['membership'],
    sinceMs: number,
  ): void {
    const last = this.spans.at(-1);
    if (last?.membership === membership && last.entryNames.join() === entryNames.join()) return;
    this.spans.push({ entryNames, membership, sinceMs });
  }
}
