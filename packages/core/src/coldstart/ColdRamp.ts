/** Progress of a cold target that this entry owns. */
interface ColdRamp {
  /** Requests that the target may have in flight. */
  limit: number;
  /** Good answers with steady latency since the limit last changed. */
  goodAnswers: number;
  /** Best latency seen since the start, in milliseconds. */
  bestMs: number;
  /** Nothing is sent before this moment, in milliseconds. */
  closedUntilMs: number;
  /** How long the next bad sign closes the target, in milliseconds. */
  backoffMs: number;
}

export default ColdRamp;
