import type SchedulingOptions from '../scheduling/SchedulingOptions';
import type TargetState from '../scheduling/TargetState';

/** After this many decay times a report has no weight left. */
const MAX_AGE_DECAYS = 6;

/**
 * Estimates the requests that a target has in flight from all entries.
 *
 * The own count is exact and is the lower bound. What the other entries told is added to it;
 * what the target reported itself counts for less the older it is.
 *
 * @param state - the target
 * @param options - tuning
 * @param nowMs - monotonic clock, in milliseconds
 * @returns the estimate, which need not be whole
 */
export default function estimateInFlight(
  state: TargetState,
  options: SchedulingOptions,
  nowMs: number,
): number {
  const own = state.outstanding.size;
  const told = own + state.peersInFlight;
  const { report } = state;
  if (report === undefined || nowMs - report.atMs > MAX_AGE_DECAYS * options.reportDecayMs) {
    return told;
  }
  const weight = Math.exp((report.atMs - nowMs) / options.reportDecayMs);
  const reported = report.inFlight + own - report.ownInFlight;
  return Math.max(own, told + weight * (reported - told));
}
