import type DecayingLatencyHistogram from '../retries/DecayingLatencyHistogram';
import type SchedulingOptions from '../scheduling/SchedulingOptions';
import type TargetState from '../scheduling/TargetState';

const MAX_SLOWNESS = 10;

function decaySlowness(state: TargetState, options: SchedulingOptions, nowMs: number): number {
  const weight = Math.exp((state.slownessAtMs - nowMs) / options.slownessDecayMs);
  return 1 + (state.slowness - 1) * weight;
}

/**
 * Estimates how many times slower than its peers a target is now, from its latest responses and
 * from the age of the oldest attempt in flight. The age reveals a slow target before a response
 * does.
 *
 * @param state - the target
 * @param latencies - latencies of the service
 * @param options - scheduling options
 * @param nowMs - monotonic clock, in milliseconds
 * @returns 1 for a target that is as fast as its peers
 */
export default function estimateSlowness(
  state: TargetState,
  latencies: DecayingLatencyHistogram,
  options: SchedulingOptions,
  nowMs: number,
): number {
  const fromResponses = state.slowness === 1 ? 1 : decaySlowness(state, options, nowMs);
  const oldest = state.outstanding.values().next().value;
  if (oldest === undefined) return fromResponses;
  const ageMs = nowMs - oldest.startedAtMs;
  if (ageMs < latencies.tailMs) return fromResponses;
  return Math.max(fromResponses, Math.min(MAX_SLOWNESS, ageMs / latencies.medianMs));
}
