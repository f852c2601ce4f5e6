/** Limits and estimates of hedged requests. */
const hedgeLimits = {
  /** Multiple of the usual duration from which an attempt counts as late. */
  lateFactor: 1.5,
  /** Time for two rounds of probes, of the running target and of free ones, in milliseconds. */
  probeAllowanceMs: 25,
  /** Usual duration as a share of the target latency until the service has enough samples. */
  usualShare: 1 / 3,
  /** How many times a second attempt the rest must take for a hedge past the target latency. */
  minGainFactor: 2,
  /** Expected rest of a late attempt at usual speed, as a share of the usual duration. */
  restShare: 0.5,
  /** Delay of the first check of an attempt that was sent to a slow target, in milliseconds. */
  slowCheckMs: 25,
  /** Interval between checks of an attempt, in milliseconds. */
  checkIntervalMs: 30,
  /** Checks of one attempt. Each may cost a probe of the running target and two of others. */
  maxChecks: 3,
  /** Targets that are probed for a second attempt. */
  probes: 2,
  /** Share of the retry budget that hedges may use; the rest is for retries alone. */
  budgetShare: 0.6,
  /** Unused hedges that an entry keeps of its share for each service. */
  maxSaved: 3,
} as const;

export default hedgeLimits;
