import type ServiceReachability from './ServiceReachability';

/**
 * @param state - the service
 * @param targetId - the target
 * @param nowMs - monotonic clock
 * @returns whether a target has left its probes unanswered for too long, or refused connections
 */
export default function isSilentTarget(
  state: ServiceReachability,
  targetId: string,
  nowMs: number,
): boolean {
  const known = state.unanswered.get(targetId);
  return known !== undefined && known.silentAtMs <= nowMs;
}
