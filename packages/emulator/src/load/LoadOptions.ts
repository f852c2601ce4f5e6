/** What a load run sends. */
interface LoadOptions {
  readonly url: string;
  readonly method: string;
  /** Requests that begin in a second, whether earlier ones are answered or not. */
  readonly ratePerSecond: number;
  /** Requests in all. */
  readonly count: number;
  /** Requests that are begun after this time are not sent. */
  readonly durationMs: number;
  /** Longest wait for an answer. */
  readonly timeoutMs: number;
}

export default LoadOptions;
