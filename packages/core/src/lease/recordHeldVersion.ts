import type LeaseHolder from './LeaseHolder';
import type LeaseTable from './LeaseTable';

/**
 * Records that an entry now dispatches under a version. An older version than the recorded one is
 * ignored.
 *
 * @param state - the lease table
 * @param startId - start id of the entry
 * @param version - the configuration version that the entry holds
 */
export default function recordHeldVersion<Holder extends LeaseHolder>(
  state: LeaseTable<Holder>,
  startId: string,
  version: number,
): void {
  const lease = state.leases.get(startId);
  if (lease === undefined || version <= (lease.heldVersion ?? -1)) return;
  state.leases.set(startId, { ...lease, heldVersion: version });
}
