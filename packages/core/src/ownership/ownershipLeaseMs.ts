/** Longest time that an entry acts on a view of membership that has been replaced. */
const ownershipLeaseMs = 4000;

export default ownershipLeaseMs;
