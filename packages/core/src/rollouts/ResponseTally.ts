import latencyBoundsMs from './latencyBoundsMs';

/** Number of responses by kind. */
interface Responses {
  readonly failed: number;
  readonly latencies: readonly number[];
}

/** Responses of the versions in force to requests of one route; older ones count less. */
export default class ResponseTally {
  private failed = 0;

  private readonly latencies: number[] = latencyBoundsMs.map(() => 0).concat(0);

  /** Number of responses. */
  get total(): number {
    return this.failed + this.good;
  }

  /** Number of responses that are not failures. */
  get good(): number {
    return this.latencies.reduce((sum, count) => sum + count, 0);
  }

  get failedCount(): number {
    return this.failed;
  }

  /** Adds responses, each with a weight. */
  add({ failed, latencies }: Responses, weight = 1): void {
    this.failed += failed * weight;
    latencies.forEach((count, index) => {
      this.latencies[index] = (this.latencies[index] ?? 0) + count * weight;
    });
  }

  /** Adds the responses of another tally, each with a weight. */
  merge(other: ResponseTally, weight: number): void {
    this.add({ failed: other.failed, latencies: other.latencies }, weight);
  }

  /** Makes all responses count less. */
  scale(factor: number): void {
    this.failed *= factor;
    this.latencies.forEach((count, index) => {
      this.latencies[index] = count * factor;
    });
  }

  /**
   * @returns the median latency of the good responses in milliseconds, within its bucket by linear
   *   interpolation; undefined if there are none
   */
  get medianMs(): number | undefined {
    const half = this.good / 2;
    if (half === 0) return undefined;
    let before = 0;
    const index = this.latencies.findIndex((count) => {
      before += count;
      return before >= half;
    });
    const count = this.latencies[index] ?? 0;
    const lowMs = latencyBoundsMs[index - 1] ?? 0;
    const highMs = latencyBoundsMs[index] ?? 2 * lowMs;
    return lowMs + (highMs - lowMs) * ((half - (before - count)) / count);
  }

  /** @returns the number of good responses in the latency buckets from an index on */
  countFrom(bucket: number): number {
    return this.latencies.slice(bucket).reduce((sum, count) => sum + count, 0);
  }
}
