/** Evidence by which an entry tells that it cannot open connections to targets. */
const connectionLimits = {
  /** Addresses in a row that refuse new connections: fewer targets may be down themselves. */
  minRefusingTargets: 3,
  /** Time after the last refusal for which that holds, in milliseconds. */
  refusalMemoryMs: 1000,
} as const;

export default connectionLimits;
