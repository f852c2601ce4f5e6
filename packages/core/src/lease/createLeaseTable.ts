import type LeaseHolder from './LeaseHolder';
import type LeaseTable from './LeaseTable';
import leaseTiming from './leaseTiming';

/**
 * Makes the table of a new leader. It is complete only once the leases that earlier leaders
 * granted have lapsed.
 *
 * @param term - the leader's term
 * @param nowMs - a moment after the term began
 * @returns an empty table
 */
export default function createLeaseTable<Holder extends LeaseHolder>(
  term: number,
  nowMs: number,
): LeaseTable<Holder> {
  return {
    term,
    completeAtMs: nowMs + leaseTiming.leaseMs + leaseTiming.driftMs,
    isComplete: false,
    count: 0,
    leases: new Map(),
    changes: [],
  };
}
