import RETENTION_MS from './retentionMs';

/** Maximum number of tracked requests; the one answered least recently is evicted first. */
const MAX_REQUESTS = 4096;

/**
 * Tracks which requests targets have answered of late.
 *
 * Load pattern: many callers repeat a few requests, so that these are among the recent ones at each
 * entry, and most others are sent once.
 */
export default class AnswerHistory {
  private readonly answeredAtMs = new Map<string, number>();

  /**
   * Records that a target answered a request.
   *
   * @param fingerprint - fingerprint of the request
   * @param nowMs - time on the monotonic clock, in milliseconds
   */
  record(fingerprint: string, nowMs: number): void {
    this.answeredAtMs.delete(fingerprint);
    this.answeredAtMs.set(fingerprint, nowMs);
    const [oldest] = this.answeredAtMs.keys();
    if (this.answeredAtMs.size > MAX_REQUESTS && oldest !== undefined) {
      this.answeredAtMs.delete(oldest);
    }
  }

  /** @returns whether a target has answered the request of late */
  includes(fingerprint: string, nowMs: number): boolean {
    return nowMs - this.lastAtMs(fingerprint) <= RETENTION_MS;
  }

  /** @returns when a target last answered the request, in milliseconds; -Infinity if unknown */
  lastAtMs(fingerprint: string): number {
    return this.answeredAtMs.get(fingerprint) ?? -Infinity;
  }
}
