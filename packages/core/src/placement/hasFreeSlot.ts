import estimateLoad from './estimateLoad';
import type PlacedTarget from './PlacedTarget';

/**
 * @param target - a target
 * @param nowMs - monotonic clock
 * @returns true if it would start one more request at once
 */
export default function hasFreeSlot(target: PlacedTarget, nowMs: number): boolean {
  return estimateLoad(target, nowMs) < target.record.slots;
}
