import isSilentTarget from './isSilentTarget';
import type ServiceReachability from './ServiceReachability';

/**
 * Counts the targets that were probed since some target last answered, and are silent. An answer
 * of one target shows that this VM is connected, so that silence before it proves nothing.
 *
 * @param state - the service
 * @param nowMs - monotonic clock
 * @returns the number of silent targets
 */
export default function countSilentTargets(state: ServiceReachability, nowMs: number): number {
  return [...state.unanswered].filter(([targetId, { sentAtMs }]) => (
    sentAtMs > state.lastAnswerAtMs && isSilentTarget(state, targetId, nowMs))).length;
}
