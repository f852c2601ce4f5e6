/** Ring buffer of event counts per time bucket, in constant memory. */
export default class CountRing {
  private readonly counts: Uint32Array;

  private newestBucket = 0;

  /**
   * @param bucketMs - length of a bucket, in milliseconds
   * @param bucketCount - number of retained buckets, including the current one
   */
  constructor(private readonly bucketMs: number, private readonly bucketCount: number) {
    this.counts = new Uint32Array(bucketCount);
  }

  /**
   * Counts one event in the current bucket.
   *
   * @param nowMs - monotonic clock, in milliseconds
   */
  add(nowMs: number): void {
    const slot = this.advance(nowMs) % this.bucketCount;
    this.counts[slot] = (this.counts[slot] ?? 0) + 1;
  }

  /**
   * Sums the buckets of the window that ends now. The current bucket counts as a full bucket.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @param windowMs - length of the window in milliseconds, a multiple of the bucket length
   * @returns the number of events in the window
   */
  sum(nowMs: number, windowMs: number): number {
    return this.values(nowMs, Math.ceil(windowMs / this.bucketMs))
      .reduce((total, count) => total + count, 0);
  }

  /**
   * Lists the newest buckets.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @param length - number of buckets, limited to the number of retained ones
   * @returns the count of each bucket, oldest first
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
    // Clears the buckets since the last advance, each slot only once if the gap exceeds the ring.
    const clearCount = Math.min(bucket - this.newestBucket, this.bucketCount);
    for (let step = 1; step <= clearCount; step += 1) {
      this.counts[(this.newestBucket + step) % this.bucketCount] = 0;
    }
    if (clearCount > 0) this.newestBucket = bucket;
    return this.newestBucket;
  }
}
