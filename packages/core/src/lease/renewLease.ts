import type LeaseHolder from './LeaseHolder';
import type LeaseTable from './LeaseTable';
import leaseTiming from './leaseTiming';
import recordTableChange from './recordTableChange';

/**
 * Grants or renews the lease of an entry.
 *
 * @param state - the lease table
 * @param holder - the entry
 * @param heldVersion - the configuration version that the entry reported, undefined without one
 * @param nowMs - a time after the entry sent its request, on the monotonic clock, in milliseconds
 * @returns true if the entry was not in the table
 */
export default function renewLease<Holder extends LeaseHolder>(
  state: LeaseTable<Holder>,
  holder: Holder,
  heldVersion: number | undefined,
  nowMs: number,
): boolean {
  const previous = state.leases.get(holder.startId);
  // The acknowledgement of a newer version may overtake a renewal, so the version never decreases.
  const newest = Math.max(heldVersion ?? -1, previous?.heldVersion ?? -1);
  state.leases.set(holder.startId, {
    holder,
    heldVersion: newest < 0 ? undefined : newest,
    expiresAtMs: nowMs + leaseTiming.leaseMs + leaseTiming.clockDriftMs,
  });
  if (previous !== undefined) return false;
  recordTableChange(state, [holder.startId], []);
  return true;
}
