import type SchedulingOptions from '../scheduling/SchedulingOptions';
import type TargetState from '../scheduling/TargetState';

/** Decay times after which a report is ignored. */
const MAX_AGE_DECAYS = 6;

/**
 * Estimates the requests that a target has in flight from all entries.
 *
 * The count of this entry is exact and is the lower bound. The counts reported by the other entries
 * are added to it. The load that the target itself reported is blended in with a weight that decays
 * with its age.
 *
 * @param state - the target
 * @param options - scheduling options
 * @param nowMs - monotonic clock, in milliseconds
 * @returns the estimate, which need not be an integer
 */
export default function estimateInFlight(
  state: TargetState,
  options: SchedulingOptions,
  nowMs: number,
): number {
  const own = state.outstanding.size;
  const counted = own + state.peersInFlight;
  const { report } = state;
  if (report === undefined || nowMs - report.atMs > MAX_AGE_DECAYS * options.reportDecayMs) {
    return counted;
  }
  const weight = Math.exp((report.atMs - nowMs) / options.reportDecayMs);
  const reported = report.inFlight + own - report.ownInFlight;
  return Math.max(own, counted + weight * (reported - counted));
}
