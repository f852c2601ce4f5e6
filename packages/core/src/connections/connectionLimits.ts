/** Limits on what an entry concludes from its connections to targets. */
const connectionLimits = {
  /** Addresses in a row that refuse new connections: fewer targets may be down themselves. */
  minRefusingTargets: 3,
  /** Time after the last refusal for which that holds, in milliseconds. */
  refusalMemoryMs: 1000,
  /** Longest time since the probe of a target that closes connections, in milliseconds. */
  closedProbeMaxAgeMs: 20,
} as const;

export default connectionLimits;
