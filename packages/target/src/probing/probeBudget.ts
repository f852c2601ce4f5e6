/** What probes may cost a target. */
const probeBudget = {
  /** Share of a target's slot time that probes may take. */
  share: 0.01,
  /** Least slot time that a probe is taken to cost, in milliseconds. */
  minCostMs: 6,
  /** A probe is given up, and its connection closed, after this time in milliseconds. */
  timeoutMs: 30,
} as const;

export default probeBudget;
