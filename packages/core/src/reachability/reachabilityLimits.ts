/** Evidence by which an entry tells that it has lost the path to targets. */
const reachabilityLimits = {
  /** Time without an answer after which a probed target counts as silent, in milliseconds. */
  silentAfterMs: 150,
  /** Silent targets that are needed if the service has that many: fewer may be down themselves. */
  minSilentTargets: 4,
  /** Share of the targets in reach from which a service counts as mostly silent. */
  mostlySilentShare: 0.5,
} as const;

export default reachabilityLimits;
