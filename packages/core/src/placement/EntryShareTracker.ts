import type EntryShare from './EntryShare';

/**
 * Time without contact to control after which an entry has no share, in milliseconds. It is shorter
 * than the time after which control drops the entry and the others divide by fewer.
 */
const LEASE_MS = 2500;

/**
 * Follows how many entries divide a limit with this one. The limit is counted over a window, so a
 * count that has shrunk applies only a window later. What an entry that is gone has used lies in no
 * window with the larger shares of the others.
 */
export default class EntryShareTracker {
  private counts: { readonly entryCount: number; replacedAtMs: number }[] = [];

  private contactAtMs = -Infinity;

  private sinceMs: number | undefined;

  /** @param windowMs - longest window over which a limit is counted, in milliseconds */
  constructor(private readonly windowMs: number) {}

  /** Records the number of entries of a new roster, including this one. */
  recordCount(entryCount: number, nowMs: number): void {
    const last = this.counts.at(-1);
    if (last !== undefined) last.replacedAtMs = nowMs;
    this.counts = this.counts.filter(({ replacedAtMs }) => replacedAtMs > nowMs - this.windowMs);
    this.counts.push({ entryCount, replacedAtMs: Infinity });
    this.recordContact(nowMs);
  }

  /** Records that control is in contact with this entry. */
  recordContact(nowMs: number): void {
    if (this.counts.length === 0) return;
    if (this.sinceMs === undefined || nowMs - this.contactAtMs > LEASE_MS) this.sinceMs = nowMs;
    this.contactAtMs = nowMs;
  }

  /** @returns the number of entries, undefined before the first roster */
  findCount(nowMs: number): number | undefined {
    if (this.counts.length === 0) return undefined;
    return Math.max(...this.counts
      .filter(({ replacedAtMs }) => replacedAtMs > nowMs - this.windowMs)
      .map(({ entryCount }) => entryCount));
  }

  /** @returns the share of this entry; undefined without a roster or contact to control */
  findShare(nowMs: number): EntryShare | undefined {
    const entryCount = this.findCount(nowMs);
    if (entryCount === undefined || this.sinceMs === undefined) return undefined;
    return nowMs - this.contactAtMs > LEASE_MS ? undefined : { entryCount, sinceMs: this.sinceMs };
  }
}
