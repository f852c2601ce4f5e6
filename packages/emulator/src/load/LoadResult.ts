/** Result of a load run. Latencies are in milliseconds, from the scheduled start of a request. */
interface LoadResult {
  readonly sent: number;
  readonly answered: number;
  /** Responses by status, and failures by error code. */
  readonly outcomes: Readonly<Record<string, number>>;
  readonly ratePerSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly maxMs: number;
}

export default LoadResult;
