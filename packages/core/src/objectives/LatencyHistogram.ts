import {
  build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram,
} from 'hdr-histogram-js';

/** Resolution of recorded latencies: one unit is 10 microseconds. */
const UNITS_PER_MS = 100;
const MAX_LATENCY_MS = 600_000;
const SIGNIFICANT_DIGITS = 2;
const ROTATION_MS = 3_600_000;

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    highestTrackableValue: MAX_LATENCY_MS * UNITS_PER_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

/** Histogram of the latencies of the current and the previous hour, in constant memory. */
export default class LatencyHistogram {
  private current = createHistogram();

  private previous = createHistogram();

  private rotation = 0;

  /**
   * Records a latency.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @param latencyMs - latency in milliseconds
   */
  add(nowMs: number, latencyMs: number): void {
    this.rotate(nowMs);
    const units = Math.min(Math.max(latencyMs, 0), MAX_LATENCY_MS) * UNITS_PER_MS;
    this.current.recordValue(Math.round(units));
  }

  /**
   * Merges and encodes the histograms of both hours.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the compressed HdrHistogram encoding, as base64
   */
  encode(nowMs: number): string {
    this.rotate(nowMs);
    const merged = createHistogram();
    merged.add(this.previous);
    merged.add(this.current);
    return encodeIntoCompressedBase64(merged);
  }

  /**
   * Computes percentiles over the merged histograms of several entries.
   *
   * @param encoded - result of `encode` of each entry
   * @param percentiles - percentiles to compute, between 0 and 100
   * @returns the latency of each percentile in milliseconds, 0 if no latency was recorded
   */
  static percentiles(encoded: readonly string[], percentiles: readonly number[]): number[] {
    const merged = createHistogram();
    encoded.forEach((text) => merged.add(decodeFromCompressedBase64(text)));
    return percentiles.map((percentile) => merged.getValueAtPercentile(percentile) / UNITS_PER_MS);
  }

  private rotate(nowMs: number): void {
    const rotation = Math.floor(nowMs / ROTATION_MS);
    if (rotation === this.rotation) return;
    const isNextHour = rotation === this.rotation + 1;
    this.previous = isNextHour ? this.current : createHistogram();
    this.current = createHistogram();
    this.rotation = rotation;
  }
}
