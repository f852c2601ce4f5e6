import RETENTION_MS from './retentionMs';

/** Maximum number of tracked requests; the one answered least recently is evicted first. */
const MAX_REQUESTS = 4096;
/** Number of responses above which further ones are not counted. */
const MAX_COUNT = 8;

interface AnswerRecord {
  readonly count: number;
  readonly atMs: number;
}

/**
 * Tracks which requests targets have answered of late.
 *
 * Load pattern: many callers repeat a few requests, so that these are among the recent ones at each
 * entry, and most others are sent once.
 */
export default class AnswerHistory {
  private readonly records = new Map<string, AnswerRecord>();

  /**
   * Records that a target answered a request.
   *
   * @param fingerprint - fingerprint of the request
   * @param nowMs - time on the monotonic clock, in milliseconds
   */
  record(fingerprint: string, nowMs: number): void {
    const count = Math.min(MAX_COUNT, this.count(fingerprint, nowMs) + 1);
    this.records.delete(fingerprint);
    this.records.set(fingerprint, { count, atMs: nowMs });
    const [oldest] = this.records.keys();
    if (this.records.size > MAX_REQUESTS && oldest !== undefined) this.records.delete(oldest);
  }

  /** @returns the number of responses that are remembered */
  count(fingerprint: string, nowMs: number): number {
    const record = this.records.get(fingerprint);
    return record === undefined || nowMs - record.atMs > RETENTION_MS ? 0 : record.count;
  }

  /** @returns when a target last answered the request, in milliseconds; -Infinity if unknown */
  lastAtMs(fingerprint: string): number {
    return this.records.get(fingerprint)?.atMs ?? -Infinity;
  }
}
