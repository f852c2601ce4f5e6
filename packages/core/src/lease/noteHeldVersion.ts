import type LeaseHolder from './LeaseHolder';
import type LeaseTable from './LeaseTable';

/**
 * Notes that an entry dispatches under a version from now on.
 *
 * @param state - the table
 * @param startId - start id of the entry
 * @param version - the version
 */
export default function noteHeldVersion<Holder extends LeaseHolder>(
  state: LeaseTable<Holder>,
  startId: string,
  version: number,
): void {
  const lease = state.leases.get(startId);
  if (lease === undefined || version <= (lease.heldVersion ?? -1)) return;
  state.leases.set(startId, { ...lease, heldVersion: version });
}
