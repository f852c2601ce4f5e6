/** Times of a planned stop, in milliseconds of the monotonic clock. */
interface StopWindow {
  /** Until then, every request is accepted: the balancer may not have noticed the stop yet. */
  readonly acceptsAllUntilMs: number;
  /** When all requests that have no response get a failure, as the process ends. */
  readonly endsAtMs: number;
}

export default StopWindow;
