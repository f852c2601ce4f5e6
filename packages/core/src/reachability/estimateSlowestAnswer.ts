import reachabilityLimits from './reachabilityLimits';
import type ServiceReachability from './ServiceReachability';

/**
 * Estimates how long the targets of a service take at most to answer a probe: the slowest answer,
 * decaying with its age.
 *
 * @param state - the service
 * @param nowMs - monotonic clock
 * @returns the time in milliseconds, 0 if none has answered a probe
 */
export default function estimateSlowestAnswer(state: ServiceReachability, nowMs: number): number {
  const halfLives = (nowMs - state.slowestAnswerAtMs) / reachabilityLimits.slowestAnswerHalfLifeMs;
  return state.slowestAnswerMs * 0.5 ** halfLives;
}
