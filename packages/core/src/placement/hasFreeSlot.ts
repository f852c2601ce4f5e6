import estimateLoad from './estimateLoad';
import type PlacedTarget from './PlacedTarget';

/**
 * @param target - a target
 * @param limit - most requests that it should hold
 * @param nowMs - monotonic clock
 * @returns true if it would start one more request at once, and should
 */
export default function hasFreeSlot(
  target: PlacedTarget,
  limit: number,
  nowMs: number,
): boolean {
  return estimateLoad(target, nowMs) < limit;
}
