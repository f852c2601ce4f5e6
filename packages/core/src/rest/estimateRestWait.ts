import type PlacedTarget from '../placement/PlacedTarget';
import restLimits from './restLimits';

/**
 * Estimates when a request may be sent to one of the targets that asked for time.
 *
 * @param targets - targets that would otherwise receive requests
 * @param before - requests that are sent first, one to each target that returns
 * @param nowMs - monotonic clock
 * @returns the time until then in milliseconds, undefined if none of them asked for time
 */
export default function estimateRestWait(
  targets: readonly PlacedTarget[],
  before: number,
  nowMs: number,
): number | undefined {
  const waitsMs = targets
    // A target that returns serves its first request before it gets others.
    .flatMap(({ rest }) => (
      rest === undefined ? [] : [Math.max(restLimits.returningMs, rest.untilMs - nowMs)]))
    .sort((a, b) => a - b);
  return waitsMs[Math.min(before, waitsMs.length - 1)];
}
