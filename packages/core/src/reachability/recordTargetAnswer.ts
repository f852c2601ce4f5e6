import estimateSlowestAnswer from './estimateSlowestAnswer';
import type ServiceReachability from './ServiceReachability';

/**
 * Records that a target answered a request or a probe.
 *
 * @param state - the service, changed in place
 * @param targetId - the target
 * @param nowMs - monotonic clock
 * @returns how long no target could be reached, in milliseconds; undefined if one could
 */
export default function recordTargetAnswer(
  state: ServiceReachability,
  targetId: string,
  nowMs: number,
): number | undefined {
  const { unreachableSinceMs } = state;
  const answerMs = nowMs - (state.unanswered.get(targetId)?.sentAtMs ?? nowMs);
  if (answerMs >= estimateSlowestAnswer(state, nowMs)) {
    state.slowestAnswerMs = answerMs;
    state.slowestAnswerAtMs = nowMs;
  }
  state.unanswered.delete(targetId);
  state.lastAnswerAtMs = nowMs;
  state.unreachableSinceMs = undefined;
  return unreachableSinceMs === undefined ? undefined : nowMs - unreachableSinceMs;
}
