/** What is known of an attempt that may be hedged. Times are since its request arrived, in ms. */
interface HedgeCandidate {
  /** When the attempt was sent. */
  readonly sentAfterMs: number;
  /** Usual duration of an attempt of the service; undefined while there are too few samples. */
  readonly usualMs: number | undefined;
  /** Time within which a response has its full value for the caller, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Slowness of the target when it was selected; undefined if unknown. */
  readonly slownessAtStart: number | undefined;
}

export default HedgeCandidate;
