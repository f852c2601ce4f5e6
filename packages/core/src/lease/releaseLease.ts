import type LeaseHolder from './LeaseHolder';
import type LeaseTable from './LeaseTable';
import noteTableChange from './noteTableChange';

/**
 * Drops the lease of an entry that dispatches nothing any more.
 *
 * @param state - the table
 * @param startId - start id of the entry
 */
export default function releaseLease<Holder extends LeaseHolder>(
  state: LeaseTable<Holder>,
  startId: string,
): void {
  if (state.leases.delete(startId)) noteTableChange(state, [], [startId]);
}
