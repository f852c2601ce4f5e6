const BUCKETS = 128;
const MIN_MS = 0.1;
/** Ratio between the upper bounds of adjacent buckets. */
const GROWTH = 1.12;
const LOG_GROWTH = Math.log(GROWTH);
/** Counts are halved at this many samples, so that older samples lose weight. */
const MAX_SAMPLES = 4096;
/** Quantiles are recomputed after this many samples. */
const REFRESH_SAMPLES = 64;
const MEDIAN = 0.5;
const TAIL = 0.95;

/** Histogram of latencies with logarithmic buckets, in which older samples decay. */
export default class DecayingLatencyHistogram {
  /** Median, in milliseconds. */
  medianMs: number;

  /** 95th percentile, in milliseconds. */
  tailMs: number;

  /** Whether the quantiles come from samples instead of the initial assumptions. */
  hasEnoughSamples = false;

  private readonly counts = new Float64Array(BUCKETS);

  private total = 0;

  private samplesSinceRefresh = 0;

  /**
   * @param initialMedianMs - median assumed until there are enough samples, in milliseconds
   * @param initialTailMs - 95th percentile assumed until there are enough samples, in milliseconds
   */
  constructor(initialMedianMs: number, initialTailMs: number) {
    this.medianMs = initialMedianMs;
    this.tailMs = initialTailMs;
  }

  /**
   * Adds a sample.
   *
   * @param latencyMs - a latency, in milliseconds
   */
  record(latencyMs: number): void {
    const bucket = Math.ceil(Math.log(Math.max(latencyMs, MIN_MS) / MIN_MS) / LOG_GROWTH);
    const index = Math.min(BUCKETS - 1, bucket);
    this.counts[index] = (this.counts[index] ?? 0) + 1;
    this.total += 1;
    this.samplesSinceRefresh += 1;
    if (this.samplesSinceRefresh >= REFRESH_SAMPLES) this.refresh();
  }

  private refresh(): void {
    this.samplesSinceRefresh = 0;
    this.hasEnoughSamples = true;
    this.medianMs = this.quantile(MEDIAN);
    this.tailMs = this.quantile(TAIL);
    if (this.total < MAX_SAMPLES) return;
    this.counts.forEach((count, index) => {
      this.counts[index] = count / 2;
    });
    this.total /= 2;
  }

  private quantile(share: number): number {
    const threshold = this.total * share;
    let cumulative = 0;
    const index = this.counts.findIndex((count) => {
      cumulative += count;
      return cumulative >= threshold;
    });
    return MIN_MS * GROWTH ** Math.max(0, index);
  }
}
