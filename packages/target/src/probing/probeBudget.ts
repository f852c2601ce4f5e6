/** Limits on the load that probes put on a target. */
const probeBudget = {
  /** Share of a target's slot time that probes may take. */
  share: 0.01,
  /** Minimum slot time charged for a probe, in milliseconds. */
  minCostMs: 6,
  /** A probe is aborted, and its connection closed, after this time in milliseconds. */
  timeoutMs: 30,
} as const;

export default probeBudget;
