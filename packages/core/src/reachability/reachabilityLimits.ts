/** Evidence by which an entry tells that it has lost the path to targets. */
const reachabilityLimits = {
  /** Shortest time without an answer after which a probed target counts as silent, in ms. */
  silentAfterMs: 150,
  /** Upper bound of that time where answers are slow, in milliseconds. */
  maxSilentAfterMs: 400,
  /** That time, as a multiple of the slowest answer of late. */
  silentAfterFactor: 2,
  /** Half-life of the slowest answer, in milliseconds. */
  slowestAnswerHalfLifeMs: 5000,
  /** Silent targets that are needed if the service has that many: fewer may be down themselves. */
  minSilentTargets: 4,
  /** Share of the targets in reach from which a service counts as mostly silent. */
  mostlySilentShare: 0.5,
} as const;

export default reachabilityLimits;
