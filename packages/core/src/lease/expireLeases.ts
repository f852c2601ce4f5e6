import type LeaseHolder from './LeaseHolder';
import type LeaseTable from './LeaseTable';
import noteTableChange from './noteTableChange';

/**
 * Drops the leases that have lapsed.
 *
 * @param state - the table
 * @param nowMs - the time
 * @returns true if the table has changed
 */
export default function expireLeases<Holder extends LeaseHolder>(
  state: LeaseTable<Holder>,
  nowMs: number,
): boolean {
  const lapsed = [...state.leases]
    .filter(([, lease]) => nowMs >= lease.lapsesAtMs)
    .map(([startId]) => startId);
  lapsed.forEach((startId) => state.leases.delete(startId));
  if (lapsed.length > 0) noteTableChange(state, [], lapsed);
  const completes = !state.isComplete && nowMs >= state.completeAtMs;
  if (completes) {
    state.isComplete = true;
    // What was told before may hold entries that are gone: everybody is told the whole table.
    state.count += 1;
    state.changes = [];
  }
  return lapsed.length > 0 || completes;
}
