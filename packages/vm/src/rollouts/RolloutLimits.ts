/** Limits of roll-outs, which the operators of the system set. */
interface RolloutLimits {
  /**
   * Largest share of the requests to a service that a bad version may get between an order and its
   * deadline, from 0 to 1.
   */
  readonly share: number;
  /** Number of requests beyond the share that a bad version may get. */
  readonly slack: number;
}

export default RolloutLimits;
