/** Latencies at the 50th, 99th and 99.9th percentile, in milliseconds. */
interface LatencySummary {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
}

export default LatencySummary;
