import planRollout from './planRollout';

/** What all entries have counted since an order. */
interface Traffic {
  /** Requests of callers to the service. */
  readonly requests: number;
  /** Requests sent to the target version. */
  readonly sent: number;
}

/** Growth of the requests in the last phase that the switch allows for, beside their chance. */
const GROWTH = 1.03;

/**
 * Finds when the target version may get all requests of its service: later than planned if it has
 * had more of the requests than planned, or if there are more of late.
 *
 * @param durationMs - time from the order to the deadline, in milliseconds
 * @param maxShare - largest share of the requests that a bad version may get, from 0 to 1
 * @param elapsedMs - time since the order, in milliseconds
 * @param traffic - what has been counted since the order
 * @returns the time of the switch, in milliseconds since the order
 */
export default function findSwitchTime(
  durationMs: number,
  maxShare: number,
  elapsedMs: number,
  { requests, sent }: Traffic,
): number {
  const plan = planRollout(durationMs, maxShare);
  if (requests === 0 || elapsedMs <= 0) return plan.switchAtMs;
  const requestsPerMs = requests / elapsedMs;
  const untilSwitchMs = Math.max(0, plan.switchAtMs - elapsedMs);
  const ahead = requestsPerMs * untilSwitchMs;
  const sentAtSwitch = sent + ahead * plan.canaryShare;
  // sentAtSwitch + x = maxShare (requests + ahead + x), for x requests in the last phase.
  const left = (maxShare * (requests + ahead) - sentAtSwitch) / (1 - maxShare);
  // Requests that come at random are more than the mean x by the square root of x in many cases.
  const allowed = ((Math.sqrt(1 + 4 * Math.max(0, left)) - 1) / 2) ** 2;
  const allowedMs = allowed / (requestsPerMs * GROWTH);
  const switchAtMs = durationMs - allowedMs;
  return Math.min(plan.lastSwitchAtMs, Math.max(plan.switchAtMs, switchAtMs));
}
