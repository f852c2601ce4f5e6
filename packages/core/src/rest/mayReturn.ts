import isResting from './isResting';
import type PlacedTarget from '../placement/PlacedTarget';

/**
 * Returns whether a request may be sent to a target as far as it has asked to be left alone.
 *
 * Load pattern: a target in trouble asks all entries for the same time. With their full load at the
 * end of it, it would fail again, so each entry sends one request and widens once it is served.
 *
 * @param target - the target
 * @param nowMs - monotonic clock
 * @returns false while the target rests, or holds the first request after it
 */
export default function mayReturn(target: PlacedTarget, nowMs: number): boolean {
  if (isResting(target, nowMs)) return false;
  return target.rest?.isReturning !== true || target.inFlight.size === 0;
}
