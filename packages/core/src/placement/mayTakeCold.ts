import hashText from '../idempotency/hashText';
import type ColdBound from './ColdBound';
import type PlacedTarget from './PlacedTarget';
import placementLimits from './placementLimits';

/**
 * Tells whether this entry may send a cold target one more request now. Each entry has an equal
 * share of the bound; where the bound is less than one request an entry, a hash of the target and
 * the entry picks those that may send, so that no message between entries is needed.
 *
 * Load pattern: a target starts cold amid traffic and would crash under its full part of it.
 *
 * @param target - the target, its list of recent sends is brought up to date
 * @param bound - what all entries together may send
 * @param entryName - this entry
 * @param nowMs - monotonic clock
 * @returns true if the request is within the bound, also if all entries do the same
 */
export default function mayTakeCold(
  target: PlacedTarget,
  bound: ColdBound,
  entryName: string,
  nowMs: number,
): boolean {
  if (target.coldUntilMs <= nowMs) return true;
  const since = nowMs - placementLimits.coldWindowMs;
  // eslint-disable-next-line no-param-reassign -- the window belongs to the target
  target.coldSends = target.coldSends.filter((atMs) => atMs > since);
  const total = Math.floor(bound.requestsPerSecond * placementLimits.coldBoundShare);
  const count = Math.max(1, bound.entryNames.length);
  const share = Math.floor(total / count);
  if (share >= 1) return target.coldSends.length < share;
  const rank = (name: string): number => hashText(`${target.record.id} ${name}`);
  const own = rank(entryName);
  const before = bound.entryNames.filter((name) => name !== entryName && rank(name) < own).length;
  return before < total && target.coldSends.length < 1;
}
