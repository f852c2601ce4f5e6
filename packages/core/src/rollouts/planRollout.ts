/** When the steps of a roll-out are due, in milliseconds since its order. */
interface RolloutPlan {
  /** Share of the requests that the target version gets until the switch. */
  readonly canaryShare: number;
  /** When the leader decides whether to switch. */
  readonly decideAtMs: number;
  /** When the target version begins to get all requests. */
  readonly switchAtMs: number;
  /** Last moment for the switch: a later one leaves no time for requests on base versions. */
  readonly lastSwitchAtMs: number;
  /** When the roll-out is completed, even if base versions have requests in flight. */
  readonly completeAtMs: number;
}

/**
 * Part of the allowed share that is used. The rest covers requests that come unevenly and the
 * rounding at each entry.
 */
const USED_SHARE = 0.97;
/**
 * Part of the allowed share that is kept for the last phase, in which the target version gets all
 * requests and those on base versions end: 0.068 of 12 s are 816 ms, which requests of 600 ms need
 * beside the decision and its way to the operator. What is left for the evaluation decides how many
 * responses the judgement rests on.
 */
const SWITCH_PART = 0.68;
/** Longest last phase, in milliseconds. */
const MAX_SWITCH_MS = 5000;
/** Time before the switch at which it is decided, so that all entries know of it in time, in ms. */
const DECISION_LEAD_MS = 500;
/** Shortest last phase, in milliseconds. */
const MIN_SWITCH_MS = 500;
/**
 * Time before the deadline at which the outcome is written, in milliseconds. An operator counts
 * from the moment at which the order was sent; one was accepted 0.3 s later.
 */
const COMPLETION_LEAD_MS = 400;

/**
 * Plans a roll-out so that the target version gets at most a share of all requests between the
 * order and the deadline, if requests come evenly: `canaryShare` of those until the switch, and all
 * of those after it.
 *
 * @param durationMs - time from the order to the deadline, in milliseconds
 * @param maxShare - largest share of the requests that a bad version may get, from 0 to 1
 * @returns the plan
 */
export default function planRollout(durationMs: number, maxShare: number): RolloutPlan {
  const switchMs = Math.min(MAX_SWITCH_MS, durationMs * maxShare * SWITCH_PART);
  const switchAtMs = durationMs - switchMs;
  const canaryShare = (durationMs * maxShare * USED_SHARE - switchMs) / switchAtMs;
  return {
    canaryShare: Math.min(1, Math.max(0, canaryShare)),
    switchAtMs,
    decideAtMs: Math.max(0, switchAtMs - DECISION_LEAD_MS),
    lastSwitchAtMs: Math.max(switchAtMs, durationMs - MIN_SWITCH_MS),
    completeAtMs: Math.max(switchAtMs, durationMs - COMPLETION_LEAD_MS),
  };
}
