import placementLimits from '../placement/placementLimits';
import estimateUsualMs from './estimateUsualMs';
import type HedgeCandidate from './HedgeCandidate';
import hedgeLimits from './hedgeLimits';

/** What is known of a late attempt now. */
interface LateAttempt extends HedgeCandidate {
  /** Time since the request arrived, in milliseconds. */
  readonly elapsedMs: number;
  /** Slowness of the target by a reading after the send; undefined if it has not told any. */
  readonly slownessNow: number | undefined;
  /** Whether the target has left a probe unanswered since the send. */
  readonly isSilent: boolean;
}

function estimateRest(attempt: LateAttempt, usualMs: number): number {
  const {
    elapsedMs, sentAfterMs, slownessNow, slownessAtStart, isSilent,
  } = attempt;
  const ageMs = elapsedMs - sentAfterMs;
  const leastMs = usualMs * hedgeLimits.restShare;
  if (isSilent) return Infinity;
  // Nothing tells why it is late: it is expected to take as long again.
  if (slownessNow === undefined) return Math.max(leastMs, ageMs);
  // Some targets keep the speed at which they started a request.
  const atStart = slownessNow > placementLimits.usualSlowness ? 1 : slownessAtStart ?? 1;
  return Math.max(leastMs, usualMs * Math.max(slownessNow, atStart) - ageMs);
}

/**
 * Decides whether a second attempt on a free target at its usual speed helps the caller: it meets
 * the target latency that the first one is expected to miss, or it ends long before the first one.
 *
 * @param attempt - the late attempt
 * @returns true if a hedge is worth its work
 */
export default function isHedgeWorthwhile(attempt: LateAttempt): boolean {
  const { elapsedMs, targetLatencyMs } = attempt;
  const usualMs = estimateUsualMs(attempt);
  const restMs = estimateRest(attempt, usualMs);
  const isSaved = elapsedMs + restMs > targetLatencyMs && elapsedMs + usualMs <= targetLatencyMs;
  return (isSaved && restMs > usualMs) || restMs >= hedgeLimits.minGainFactor * usualMs;
}
