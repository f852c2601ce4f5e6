import calculateColdShare from './calculateColdShare';
import type ColdRateLimit from './ColdRateLimit';
import type PlacedTarget from './PlacedTarget';
import placementLimits from './placementLimits';

/**
 * Returns whether this entry may send one more request to a cold target now. While rosters change,
 * it has the least share that any recent one gives it.
 *
 * Load pattern: a target starts cold under traffic and would crash under its full share of it.
 *
 * @param target - the target; sends older than the window are dropped from its `recentSends`
 * @param limit - the rate limit of all entries together
 * @param entryName - name of this entry
 * @param nowMs - monotonic clock
 * @returns true if the request stays within the limit even if every entry sends its share
 */
export default function maySendToColdTarget(
  target: PlacedTarget,
  limit: ColdRateLimit,
  entryName: string,
  nowMs: number,
): boolean {
  if (target.coldUntilMs <= nowMs) return true;
  const since = nowMs - placementLimits.coldWindowMs;
  const { requestsPerSecond, rosters } = limit;
  // eslint-disable-next-line no-param-reassign -- the window is state of the target
  target.recentSends = target.recentSends.filter((atMs) => atMs > since);
  const sent = target.recentSends.length;
  return rosters.length > 0 && rosters.every((roster) => (
    sent < calculateColdShare(target.record.id, requestsPerSecond, roster, entryName)));
}
