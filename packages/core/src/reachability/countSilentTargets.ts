import isSilentTarget from './isSilentTarget';
import type ServiceReachability from './ServiceReachability';

/** Numbers of silent targets of a service. */
interface SilentTargets {
  /** Targets that turned silent, and were probed, after some target last answered. */
  readonly fresh: number;
  /** Targets that were silent already when another one answered: they are gone themselves. */
  readonly gone: number;
}

/**
 * Counts the silent targets. An answer of one target shows that this VM is connected, so that
 * silence before it says nothing of the path.
 *
 * @param state - the service
 * @param nowMs - monotonic clock
 * @returns the numbers of silent targets
 */
export default function countSilentTargets(
  state: ServiceReachability,
  nowMs: number,
): SilentTargets {
  const { lastAnswerAtMs } = state;
  const silent = [...state.unanswered]
    .filter(([targetId]) => isSilentTarget(state, targetId, nowMs))
    .map(([, probes]) => probes);
  const gone = silent.filter(({ silentAtMs }) => silentAtMs <= lastAnswerAtMs).length;
  const fresh = silent.filter(({ sentAtMs, silentAtMs }) => (
    sentAtMs > lastAnswerAtMs && silentAtMs > lastAnswerAtMs)).length;
  return { fresh, gone };
}
