/** Times of the configuration lease, in milliseconds. */
const leaseTiming = {
  /** An entry may dispatch this long from the moment at which it asked. */
  leaseMs: 4000,
  /** Time between two renewals. */
  renewMs: 1000,
  /** Time until a renewal that was not answered is sent again, by other ways too. */
  retryMs: 300,
  /** How much later the leader takes a lease to lapse, as clocks of VMs run at different rates. */
  driftMs: 100,
} as const;

export default leaseTiming;
