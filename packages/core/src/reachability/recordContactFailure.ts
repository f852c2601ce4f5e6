import type ServiceReachability from './ServiceReachability';

/**
 * Records that a connection to a target was refused or broken off, which needs no further wait.
 *
 * @param state - the service, changed in place
 * @param targetId - the target
 * @param nowMs - monotonic clock
 */
export default function recordContactFailure(
  state: ServiceReachability,
  targetId: string,
  nowMs: number,
): void {
  const known = state.unanswered.get(targetId);
  state.unanswered.set(targetId, {
    sentAtMs: known?.sentAtMs ?? nowMs, silentAtMs: Math.min(known?.silentAtMs ?? Infinity, nowMs),
  });
}
