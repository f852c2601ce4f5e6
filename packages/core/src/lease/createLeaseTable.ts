import type LeaseHolder from './LeaseHolder';
import type LeaseTable from './LeaseTable';
import leaseTiming from './leaseTiming';

/**
 * Creates the lease table of a new leader. The table is incomplete until all leases that earlier
 * leaders granted have expired.
 *
 * @param term - term of the leader
 * @param nowMs - a time after the term began, on the monotonic clock, in milliseconds
 * @returns an empty table
 */
export default function createLeaseTable<Holder extends LeaseHolder>(
  term: number,
  nowMs: number,
): LeaseTable<Holder> {
  return {
    term,
    completeAtMs: nowMs + leaseTiming.leaseMs + leaseTiming.clockDriftMs,
    isComplete: false,
    count: 0,
    leases: new Map(),
    changes: [],
  };
}
