import estimateSlowestAnswer from './estimateSlowestAnswer';
import reachabilityLimits from './reachabilityLimits';
import type ServiceReachability from './ServiceReachability';

/**
 * Returns after which time without an answer a probed target counts as silent.
 *
 * Load pattern: targets that all stall for moments, for instance with the machine that they share.
 * What is late as often as that is no evidence of a lost path.
 *
 * @param state - the service
 * @param nowMs - monotonic clock
 * @returns the time in milliseconds
 */
export default function findSilenceLimit(state: ServiceReachability, nowMs: number): number {
  const { silentAfterMs, maxSilentAfterMs, silentAfterFactor } = reachabilityLimits;
  const usualMs = silentAfterFactor * estimateSlowestAnswer(state, nowMs);
  return Math.min(maxSilentAfterMs, Math.max(silentAfterMs, usualMs));
}
