import type PlacedTarget from './PlacedTarget';
import placementLimits from './placementLimits';

/**
 * Returns whether a target works at its usual speed now.
 *
 * @param target - the target
 * @param nowMs - monotonic clock
 * @returns undefined if there is no reading that is fresh enough to tell
 */
export default function isAtUsualSpeed(target: PlacedTarget, nowMs: number): boolean | undefined {
  const { reading } = target;
  if (reading === undefined || nowMs - reading.atMs > placementLimits.speedMaxAgeMs) {
    return undefined;
  }
  return reading.slowness <= placementLimits.usualSlowness;
}
