import type PlacedTarget from './PlacedTarget';
import placementLimits from './placementLimits';

/**
 * Returns the share of requests that a target refuses to run, decayed by the age of the figure.
 *
 * @param target - a target
 * @param nowMs - monotonic clock
 * @returns the share, from 0 to 1
 */
export default function estimateRejectShare(target: PlacedTarget, nowMs: number): number {
  if (target.rejectShare === 0) return 0;
  const ageMs = Math.max(0, nowMs - target.rejectShareAtMs);
  return target.rejectShare * 0.5 ** (ageMs / placementLimits.rejectHalfLifeMs);
}
