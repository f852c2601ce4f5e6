/** Limits on what an entry concludes from its connections to targets. */
const connectionLimits = {
  /** Addresses in a row that refuse new connections: fewer targets may be down themselves. */
  minRefusingTargets: 3,
  /** Time after the last refusal for which that holds, in milliseconds. */
  refusalMemoryMs: 1000,
  /** Probes in a row that ended their connections from which on a target closes each one. */
  minClosedProbes: 2,
  /** Time for which the probe of such a target allows one request, in milliseconds. */
  closedProbeValidMs: 20,
} as const;

export default connectionLimits;
