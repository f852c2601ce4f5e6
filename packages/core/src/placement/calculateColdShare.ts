import hashText from '../idempotency/hashText';
import placementLimits from './placementLimits';
import type RosterSpan from './RosterSpan';

/**
 * Divides the limit of a cold target: the entries that all know have most of it, and those that
 * have just started, and those that control may have lost, a part of the rest each.
 */
function calculateTotal(requestsPerSecond: number, membership: RosterSpan['membership']): number {
  const settled = Math.floor(requestsPerSecond * placementLimits.coldRateShare);
  if (membership === 'settled') return settled;
  const rest = Math.floor(requestsPerSecond) - settled;
  const lost = Math.floor(rest / 2);
  return membership === 'lost' ? lost : rest - lost;
}

/**
 * Returns how many requests a second an entry may send to a cold target. Each entry has an equal
 * share. If it is less than one request, a hash of the target and the entry selects the entries
 * that may send, so that no coordination is needed.
 *
 * @param targetId - id of the target
 * @param requestsPerSecond - the limit of all entries together
 * @param roster - what the entry knows of the entries
 * @param entryName - name of the entry
 * @returns the number of requests; none while control does not list the entry
 */
export default function calculateColdShare(
  targetId: string,
  requestsPerSecond: number,
  { entryNames, membership }: RosterSpan,
  entryName: string,
): number {
  if (!entryNames.includes(entryName)) return 0;
  const total = calculateTotal(requestsPerSecond, membership);
  const share = Math.floor(total / entryNames.length);
  if (share >= 1) return share;
  const rank = (name: string): number => hashText(`${targetId} ${name}`);
  const own = rank(entryName);
  const before = entryNames.filter((name) => name !== entryName && (
    rank(name) < own || (rank(name) === own && name < entryName))).length;
  return before < total ? 1 : 0;
}
