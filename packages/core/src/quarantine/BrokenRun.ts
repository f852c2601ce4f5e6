/** A run of a request that ended with the target's connection, without a complete response. */
interface BrokenRun {
  readonly fingerprint: string;
  readonly targetId: string;
  /** When the request was sent to the target, on the monotonic clock, in milliseconds. */
  readonly startedAtMs: number;
  /** When the target broke it off, in milliseconds. */
  readonly brokenAtMs: number;
}

export default BrokenRun;
