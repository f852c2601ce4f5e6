/** Progress of a cold target that this entry owns. */
interface ColdRamp {
  /** Requests that the target may have in flight. */
  limit: number;
  /** Good answers in the present window. */
  answers: number;
  /** Sum of the logarithms of their latencies. */
  logSum: number;
  /** Geometric mean of the latencies of the window before, in milliseconds. */
  previousMs: number | undefined;
  /** Windows since the limit last changed. */
  windows: number;
  /** Nothing is sent before this moment, in milliseconds. */
  closedUntilMs: number;
  /** How long the next bad sign closes the target, in milliseconds. */
  backoffMs: number;
}

export default ColdRamp;
