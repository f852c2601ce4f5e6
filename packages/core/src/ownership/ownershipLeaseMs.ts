import leaseTiming from '../lease/leaseTiming';

/** Maximum time for which an entry acts on a replaced view of the membership, in milliseconds. */
const ownershipLeaseMs = leaseTiming.leaseMs + leaseTiming.clockDriftMs;

export default ownershipLeaseMs;
