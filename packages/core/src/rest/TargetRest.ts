/** The time for which a target wants no requests from this entry, and its return afterwards. */
interface TargetRest {
  /** Until when nothing is sent to the target, in milliseconds. */
  untilMs: number;
  /** Whether the target has not served a request since; until then it gets one at a time. */
  isReturning: boolean;
}

export default TargetRest;
