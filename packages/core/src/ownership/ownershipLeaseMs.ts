import leaseTiming from '../lease/leaseTiming';

/** Longest time that an entry acts on a view of membership that has been replaced. */
const ownershipLeaseMs = leaseTiming.leaseMs + leaseTiming.driftMs;

export default ownershipLeaseMs;
