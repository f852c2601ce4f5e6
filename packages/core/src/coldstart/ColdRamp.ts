/** Progress of the ramp-up of a cold target that this entry owns. */
interface ColdRamp {
  /** Maximum number of requests in flight to the target. */
  limit: number;
  /** Successful responses in the current window. */
  responses: number;
  /** Sum of the logarithms of their latencies. */
  logLatencySum: number;
  /** Geometric mean of the latencies of the previous window, in milliseconds. */
  previousMeanMs: number | undefined;
  /** Completed windows since the limit last changed. */
  windows: number;
  /** End of the backoff on the monotonic clock, in milliseconds; nothing is sent before. */
  backoffUntilMs: number;
  /** Backoff after the next failure, in milliseconds. */
  backoffMs: number;
}

export default ColdRamp;
