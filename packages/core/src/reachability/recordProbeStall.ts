import type ServiceReachability from './ServiceReachability';

/**
 * Records that this process stood still while a probe was under way. It could not read an answer in
 * that time, which therefore does not count as silence.
 *
 * @param state - the service, changed in place
 * @param targetId - the probed target
 * @param stalledMs - for how long it stood still until now, in milliseconds
 * @param nowMs - monotonic clock
 */
export default function recordProbeStall(
  state: ServiceReachability,
  targetId: string,
  stalledMs: number,
  nowMs: number,
): void {
  const known = state.unanswered.get(targetId);
  const wasSilent = known !== undefined && known.silentAtMs <= nowMs - stalledMs;
  if (known !== undefined && !wasSilent) known.silentAtMs += stalledMs;
}
