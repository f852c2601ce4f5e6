/** Limits on connections to targets, and on what an entry concludes from them. */
const connectionLimits = {
  /** Most connections from one entry to a target, however many the target accepts. */
  maxPerTarget: 256,
  /** Most connections from one entry to another that relay requests. */
  maxPerEntry: 256,
  /** Connections to a target that accepts them, from an entry that does not know its share. */
  smallShare: 16,
  /** Connections to a target that are left to its probes. */
  keptForProbes: 1,
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
