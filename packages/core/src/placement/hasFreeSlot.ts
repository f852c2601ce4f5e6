import estimateLoad from './estimateLoad';
import type PlacedTarget from './PlacedTarget';

/**
 * Returns whether a target is expected to hold fewer requests than its limit.
 *
 * @param target - a target
 * @param limit - most requests that it should hold
 * @param nowMs - monotonic clock
 * @returns true if it can and should start one more request without queueing
 */
export default function hasFreeSlot(
  target: PlacedTarget,
  limit: number,
  nowMs: number,
): boolean {
  return estimateLoad(target, nowMs) < limit;
}
