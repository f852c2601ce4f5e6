/** What a load run measured. Latencies are in milliseconds, from the moment a request was due. */
interface LoadResult {
  readonly sent: number;
  readonly answered: number;
  /** Answers by status, and failures by their code. */
  readonly outcomes: Readonly<Record<string, number>>;
  readonly ratePerSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly maxMs: number;
}

export default LoadResult;
