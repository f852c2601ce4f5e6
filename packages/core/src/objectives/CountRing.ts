/** Counts of the last buckets of time, in constant memory. */
export default class CountRing {
  private readonly counts: Uint32Array;

  private newestBucket = 0;

  /**
   * @param bucketMs - length of a bucket, in milliseconds
   * @param bucketCount - how many buckets are kept, the one under way included
   */
  constructor(private readonly bucketMs: number, private readonly bucketCount: number) {
    this.counts = new Uint32Array(bucketCount);
  }

  /**
   * Counts one event.
   *
   * @param nowMs - monotonic clock, in milliseconds
   */
  add(nowMs: number): void {
    const slot = this.advance(nowMs) % this.bucketCount;
    this.counts[slot] = (this.counts[slot] ?? 0) + 1;
  }

  /**
   * Sums the buckets of a window that ends now; the bucket under way counts as a whole one.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @param windowMs - length of the window, a multiple of the bucket's
   * @returns the number of events
   */
  sum(nowMs: number, windowMs: number): number {
    return this.values(nowMs, Math.ceil(windowMs / this.bucketMs))
      .reduce((total, count) => total + count, 0);
  }

  /**
   * Lists the newest buckets.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @param length - how many buckets
   * @returns their counts, the oldest first
   */
  values(nowMs: number, length: number): number[] {
    const newest = this.advance(nowMs);
    const kept = Math.min(length, this.bucketCount);
    return Array.from({ length: kept }, (_, index) => {
      const bucket = newest - kept + 1 + index;
      return bucket < 0 ? 0 : this.counts[bucket % this.bucketCount] ?? 0;
    });
  }

  private advance(nowMs: number): number {
    const bucket = Math.floor(nowMs / this.bucketMs);
    // A gap longer than the ring clears each slot once.
    const steps = Math.min(bucket - this.newestBucket, this.bucketCount);
    for (let step = 1; step <= steps; step += 1) {
      this.counts[(this.newestBucket + step) % this.bucketCount] = 0;
    }
    if (steps > 0) this.newestBucket = bucket;
    return this.newestBucket;
  }
}
