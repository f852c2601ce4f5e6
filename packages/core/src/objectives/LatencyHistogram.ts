import {
  build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram,
} from 'hdr-histogram-js';

/** Latencies are counted in units of a hundredth of a millisecond. */
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

/** Latencies of the hour under way and of the one before, in constant memory. */
export default class LatencyHistogram {
  private current = createHistogram();

  private previous = createHistogram();

  private rotation = 0;

  /**
   * @param nowMs - monotonic clock, in milliseconds
   * @param latencyMs - the latency to count
   */
  add(nowMs: number, latencyMs: number): void {
    this.rotate(nowMs);
    const units = Math.min(Math.max(latencyMs, 0), MAX_LATENCY_MS) * UNITS_PER_MS;
    this.current.recordValue(Math.round(units));
  }

  /**
   * @param nowMs - monotonic clock, in milliseconds
   * @returns both hours in the compressed form of HdrHistogram, as base64
   */
  encode(nowMs: number): string {
    this.rotate(nowMs);
    const both = createHistogram();
    both.add(this.previous);
    both.add(this.current);
    return encodeIntoCompressedBase64(both);
  }

  /**
   * Reads percentiles off the histograms of several entries.
   *
   * @param encoded - what `encode` gave on each
   * @param percentiles - between 0 and 100
   * @returns their latencies in milliseconds, 0 without any
   */
  static percentiles(encoded: readonly string[], percentiles: readonly number[]): number[] {
    const all = createHistogram();
    encoded.forEach((text) => all.add(decodeFromCompressedBase64(text)));
    return percentiles.map((percentile) => all.getValueAtPercentile(percentile) / UNITS_PER_MS);
  }

  private rotate(nowMs: number): void {
    const rotation = Math.floor(nowMs / ROTATION_MS);
    if (rotation === this.rotation) return;
    const isNext = rotation === this.rotation + 1;
    this.previous = isNext ? this.current : createHistogram();
    this.current = createHistogram();
    this.rotation = rotation;
  }
}
