/** Latency percentiles of one measurement, in microseconds. */
interface LatencySample {
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly requests: number;
  readonly failures: number;
}

export default LatencySample;
