import type PlacedTarget from './PlacedTarget';
import placementLimits from './placementLimits';
import estimateRejectShare from './estimateRejectShare';

/**
 * Records whether a target ran or refused a request.
 *
 * Load pattern: some targets refuse half of their requests although they have free slots and
 * their probes succeed. Each refusal costs a retry, and the retry budget is small.
 *
 * @param target - the target, changed in place
 * @param isRejected - whether the target reported that it did not run the request
 * @param nowMs - monotonic clock
 */
export default function recordRejection(
  target: PlacedTarget,
  isRejected: boolean,
  nowMs: number,
): void {
  const state = target;
  const share = estimateRejectShare(target, nowMs);
  state.rejectShare = share + placementLimits.rejectWeight * ((isRejected ? 1 : 0) - share);
  state.rejectShareAtMs = nowMs;
}
