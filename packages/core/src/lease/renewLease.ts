import type LeaseHolder from './LeaseHolder';
import type LeaseTable from './LeaseTable';
import leaseTiming from './leaseTiming';
import noteTableChange from './noteTableChange';

/**
 * Notes a lease that is granted now.
 *
 * @param state - the table
 * @param holder - the entry
 * @param heldVersion - the version that it said it holds
 * @param nowMs - a moment after the entry asked
 * @returns true if the entry is new in the table
 */
export default function renewLease<Holder extends LeaseHolder>(
  state: LeaseTable<Holder>,
  holder: Holder,
  heldVersion: number | undefined,
  nowMs: number,
): boolean {
  const previous = state.leases.get(holder.startId);
  // A renewal may be overtaken by the acknowledgement of a newer version.
  const newest = Math.max(heldVersion ?? -1, previous?.heldVersion ?? -1);
  state.leases.set(holder.startId, {
    holder,
    heldVersion: newest < 0 ? undefined : newest,
    lapsesAtMs: nowMs + leaseTiming.leaseMs + leaseTiming.driftMs,
  });
  if (previous !== undefined) return false;
  noteTableChange(state, [holder.startId], []);
  return true;
}
