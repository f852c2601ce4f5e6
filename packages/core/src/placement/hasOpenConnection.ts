import type PlacedTarget from './PlacedTarget';
import placementLimits from './placementLimits';

/**
 * Returns whether an idle connection to a target can be expected.
 *
 * @param target - a target
 * @param nowMs - monotonic clock
 * @returns true if a request most likely needs no new connection
 */
export default function hasOpenConnection(target: PlacedTarget, nowMs: number): boolean {
  const { defaultIdleMs, idleMarginMs } = placementLimits;
  const openForMs = target.idleTimeoutMs === undefined
    ? defaultIdleMs
    : target.idleTimeoutMs - idleMarginMs / 2;
  return target.inFlight.size === 0 && nowMs - target.lastSentAtMs < openForMs;
}
