import findSilenceLimit from './findSilenceLimit';
import type ServiceReachability from './ServiceReachability';

/**
 * Records that a target was probed.
 *
 * @param state - the service, changed in place
 * @param targetId - the target
 * @param nowMs - monotonic clock
 */
export default function recordProbeSent(
  state: ServiceReachability,
  targetId: string,
  nowMs: number,
): void {
  const known = state.unanswered.get(targetId);
  const silentAtMs = nowMs + findSilenceLimit(state, nowMs);
  state.unanswered.set(targetId, {
    sentAtMs: nowMs, silentAtMs: Math.min(known?.silentAtMs ?? Infinity, silentAtMs),
  });
}
