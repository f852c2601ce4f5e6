import CountRing from './CountRing';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const FINE_BUCKET_MS = MINUTE_MS;
const FINE_SPAN_MS = 6 * HOUR_MS;
const COARSE_BUCKET_MS = 30 * MINUTE_MS;
const COARSE_SPAN_MS = 72 * HOUR_MS;

/**
 * Event counter for all windows of the report. Keeps 1-minute buckets for 6 hours and 30-minute
 * buckets for 3 days.
 */
export default class WindowedCounter {
  private readonly fine = new CountRing(FINE_BUCKET_MS, FINE_SPAN_MS / FINE_BUCKET_MS);

  private readonly coarse = new CountRing(COARSE_BUCKET_MS, COARSE_SPAN_MS / COARSE_BUCKET_MS);

  /**
   * Counts one event.
   *
   * @param nowMs - monotonic clock, in milliseconds
   */
  add(nowMs: number): void {
    this.fine.add(nowMs);
    this.coarse.add(nowMs);
  }

  /**
   * Counts the events in the window that ends now.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @param windowMs - length of the window in milliseconds, at most 3 days
   * @returns the number of events
   */
  sum(nowMs: number, windowMs: number): number {
    return (windowMs <= FINE_SPAN_MS ? this.fine : this.coarse).sum(nowMs, windowMs);
  }

  /**
   * Lists the counts of the last 6 hours in equal steps.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @param stepMs - length of a step in milliseconds, a multiple of a minute
   * @returns the number of events in each step, oldest first
   */
  series(nowMs: number, stepMs: number): number[] {
    const minutes = this.fine.values(nowMs, FINE_SPAN_MS / FINE_BUCKET_MS);
    const perStep = stepMs / FINE_BUCKET_MS;
    return Array.from({ length: minutes.length / perStep }, (_, index) => minutes
      .slice(index * perStep, (index + 1) * perStep)
      .reduce((total, count) => total + count, 0));
  }
}
