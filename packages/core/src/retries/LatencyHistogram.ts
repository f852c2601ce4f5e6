const BUCKETS = 128;
const SMALLEST_MS = 0.1;
const GROWTH = 1.12;
const LOG_GROWTH = Math.log(GROWTH);
/** Counts are halved at this many samples, so that older ones fade. */
const MAX_SAMPLES = 4096;
/** Quantiles are computed anew after this many samples. */
const REFRESH_SAMPLES = 64;
const MEDIAN = 0.5;
const TAIL = 0.95;

/** Fading histogram of latencies with logarithmic buckets. */
export default class LatencyHistogram {
  /** Median, in milliseconds. */
  medianMs: number;

  /** 95th percentile, in milliseconds. */
  tailMs: number;

  /** Whether there were enough samples to replace what was assumed at first. */
  isKnown = false;

  private readonly counts = new Float64Array(BUCKETS);

  private total = 0;

  private sinceRefresh = 0;

  /**
   * @param initialMedianMs - median to assume before there are samples
   * @param initialTailMs - 95th percentile to assume before there are samples
   */
  constructor(initialMedianMs: number, initialTailMs: number) {
    this.medianMs = initialMedianMs;
    this.tailMs = initialTailMs;
  }

  /**
   * Takes a sample.
   *
   * @param latencyMs - a latency, in milliseconds
   */
  record(latencyMs: number): void {
    const bucket = Math.ceil(Math.log(Math.max(latencyMs, SMALLEST_MS) / SMALLEST_MS) / LOG_GROWTH);
    const index = Math.min(BUCKETS - 1, bucket);
    this.counts[index] = (this.counts[index] ?? 0) + 1;
    this.total += 1;
    this.sinceRefresh += 1;
    if (this.sinceRefresh >= REFRESH_SAMPLES) this.refresh();
  }

  private refresh(): void {
    this.sinceRefresh = 0;
    this.isKnown = true;
    this.medianMs = this.quantile(MEDIAN);
    this.tailMs = this.quantile(TAIL);
    if (this.total < MAX_SAMPLES) return;
    this.counts.forEach((count, index) => {
      this.counts[index] = count / 2;
    });
    this.total /= 2;
  }

  private quantile(share: number): number {
    const wanted = this.total * share;
    let seen = 0;
    const index = this.counts.findIndex((count) => {
      seen += count;
      return seen >= wanted;
    });
    return SMALLEST_MS * GROWTH ** Math.max(0, index);
  }
}
