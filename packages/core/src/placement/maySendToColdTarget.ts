import hashText from '../idempotency/hashText';
import type ColdRateLimit from './ColdRateLimit';
import type PlacedTarget from './PlacedTarget';
import placementLimits from './placementLimits';

/**
 * Returns whether this entry may send one more request to a cold target now. Each entry has an
 * equal share of the rate limit. If the share is less than one request per entry, a hash of the
 * target and the entry selects the entries that may send, so that no coordination is needed.
 *
 * Load pattern: a target starts cold under traffic and would crash under its full share of it.
 *
 * @param target - the target; sends older than the window are dropped from its `coldSends`
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
  // eslint-disable-next-line no-param-reassign -- the window is state of the target
  target.coldSends = target.coldSends.filter((atMs) => atMs > since);
  const total = Math.floor(limit.requestsPerSecond * placementLimits.coldRateShare);
  const count = Math.max(1, limit.entryNames.length);
  const share = Math.floor(total / count);
  if (share >= 1) return target.coldSends.length < share;
  const rank = (name: string): number => hashText(`${target.record.id} ${name}`);
  const own = rank(entryName);
  const before = limit.entryNames.filter((name) => name !== entryName && rank(name) < own).length;
  return before < total && target.coldSends.length < 1;
}
