import type LeaseHolder from './LeaseHolder';
import type LeaseTable from './LeaseTable';
import recordTableChange from './recordTableChange';

/**
 * Removes expired leases, and marks the table as complete once no lease of an earlier leader can be
 * valid.
 *
 * @param state - the lease table
 * @param nowMs - monotonic clock, in milliseconds
 * @returns true if the table has changed and has to be published
 */
export default function expireLeases<Holder extends LeaseHolder>(
  state: LeaseTable<Holder>,
  nowMs: number,
): boolean {
  const expired = [...state.leases]
    .filter(([, lease]) => nowMs >= lease.expiresAtMs)
    .map(([startId]) => startId);
  expired.forEach((startId) => state.leases.delete(startId));
  if (expired.length > 0) recordTableChange(state, [], expired);
  const becomesComplete = !state.isComplete && nowMs >= state.completeAtMs;
  if (becomesComplete) {
    state.isComplete = true;
    // What receivers got before may include entries that are gone. Without changes to compute a
    // delta from, every receiver gets the full table.
    state.count += 1;
    state.changes = [];
  }
  return expired.length > 0 || becomesComplete;
}
