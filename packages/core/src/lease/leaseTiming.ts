/** Durations of the configuration lease, in milliseconds. */
const leaseTiming = {
  /** How long an entry may dispatch, counted from when it sent the request for the lease. */
  leaseMs: 4000,
  /** Interval between renewals. */
  renewIntervalMs: 1000,
  /** Time after which a renewal without a response is sent again, also through relays. */
  retryMs: 300,
  /** Margin by which the leader expires a lease later, since clocks of VMs drift apart. */
  clockDriftMs: 100,
} as const;

export default leaseTiming;
