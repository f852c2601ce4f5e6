import type PlacedTarget from './PlacedTarget';
import placementLimits from './placementLimits';

/**
 * Records whether a request failed on a target, and ejects a target that fails too often although
 * its probes succeed.
 *
 * @param target - the target, changed in place
 * @param hasFailed - whether the request failed on the target
 * @param nowMs - monotonic clock
 * @returns true if the target has just been ejected
 */
export default function recordOutcome(
  target: PlacedTarget,
  hasFailed: boolean,
  nowMs: number,
): boolean {
  const {
    failureWeight, ejectShare, ejectMs, maxEjectMs,
  } = placementLimits;
  const state = target;
  state.failureShare += failureWeight * ((hasFailed ? 1 : 0) - state.failureShare);
  if (!hasFailed) {
    if (state.failureShare < failureWeight) state.ejections = 0;
    return false;
  }
  if (state.failureShare < ejectShare) return false;
  state.ejectedUntilMs = nowMs + Math.min(maxEjectMs, ejectMs * 2 ** state.ejections);
  state.ejections += 1;
  // After its return, a target has to fail again before it is ejected again.
  state.failureShare = ejectShare / 2;
  return true;
}
