import type PlacedTarget from './PlacedTarget';
import placementLimits from './placementLimits';

/** Number of send times from which on those before the window are dropped. */
const MAX_UNTRIMMED = 64;

/**
 * Records that a request is sent to a target. Requests to a warm target are recorded as well: it
 * may have become cold before this entry learns of it.
 *
 * @param target - the target, whose `recentSends` grow
 * @param nowMs - monotonic clock
 */
export default function recordSendTime(target: PlacedTarget, nowMs: number): void {
  const state = target;
  state.recentSends.push(nowMs);
  if (state.recentSends.length < MAX_UNTRIMMED) return;
  const since = nowMs - placementLimits.coldWindowMs;
  state.recentSends = state.recentSends.filter((atMs) => atMs > since);
}
