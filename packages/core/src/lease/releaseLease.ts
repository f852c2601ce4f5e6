import type LeaseHolder from './LeaseHolder';
import type LeaseTable from './LeaseTable';
import recordTableChange from './recordTableChange';

/**
 * Removes the lease of an entry that has stopped dispatching.
 *
 * @param state - the lease table
 * @param startId - start id of the entry
 */
export default function releaseLease<Holder extends LeaseHolder>(
  state: LeaseTable<Holder>,
  startId: string,
): void {
  if (state.leases.delete(startId)) recordTableChange(state, [], [startId]);
}
