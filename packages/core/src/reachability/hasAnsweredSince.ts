import type ServiceReachability from './ServiceReachability';

/**
 * @param state - the service
 * @param sinceMs - monotonic clock
 * @returns whether a target has answered since, or none has been probed since without an answer
 */
export default function hasAnsweredSince(state: ServiceReachability, sinceMs: number): boolean {
  if (state.lastAnswerAtMs >= sinceMs) return true;
  return ![...state.unanswered.values()].some(({ sentAtMs }) => sentAtMs >= sinceMs);
}
