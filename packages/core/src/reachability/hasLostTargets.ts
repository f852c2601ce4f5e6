import countSilentTargets from './countSilentTargets';
import reachabilityLimits from './reachabilityLimits';
import type ServiceReachability from './ServiceReachability';

/**
 * Returns whether this entry can reach none of the targets of a service: several targets are silent
 * and none has answered since they were probed.
 *
 * Load pattern: an entry loses its links to all targets, while callers still reach it. Each request
 * would wait for a timeout of its own, and those that may not be repeated would be lost.
 *
 * @param state - the service
 * @param targetCount - targets of the service that this entry may send to
 * @param nowMs - monotonic clock
 * @returns true if the evidence suffices
 */
export default function hasLostTargets(
  state: ServiceReachability,
  targetCount: number,
  nowMs: number,
): boolean {
  if (state.unreachableSinceMs !== undefined) return true;
  const { fresh, gone } = countSilentTargets(state, nowMs);
  const needed = Math.max(1, Math.min(reachabilityLimits.minSilentTargets, targetCount - gone));
  return fresh >= needed;
}
