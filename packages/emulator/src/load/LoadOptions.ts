/** Options of a load run. */
interface LoadOptions {
  readonly url: string;
  readonly method: string;
  /** Requests started per second, independently of earlier responses (open loop). */
  readonly ratePerSecond: number;
  /** Total number of requests. */
  readonly count: number;
  /** Time during which requests are started, in milliseconds. */
  readonly durationMs: number;
  /** Longest wait for a response, in milliseconds. */
  readonly timeoutMs: number;
}

export default LoadOptions;
