/** One attempt that this entry has in flight to a target. */
interface OutstandingAttempt {
  /** Time of its dispatch on the monotonic clock, in milliseconds. */
  readonly startedAtMs: number;
}

export default OutstandingAttempt;
