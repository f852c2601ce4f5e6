import placementLimits from '../placement/placementLimits';
import estimateUsualMs from './estimateUsualMs';
import type HedgeCandidate from './HedgeCandidate';
import hedgeLimits from './hedgeLimits';

/** When an attempt is checked, in milliseconds since its request arrived. */
interface HedgePlan {
  readonly firstCheckMs: number;
  /** Last time at which a second attempt is expected to meet the target latency. */
  readonly lastUsefulMs: number;
}

/**
 * Decides when to check whether an attempt is hedged: once it is late, or at the last moment at
 * which a second attempt can meet the target latency, but not before the usual duration has passed.
 * That is a mean over attempts of which some were slowed, so a second attempt may take as long.
 * An attempt on a target that was slow from the start is late at once.
 *
 * @param candidate - the attempt
 * @returns the times of the checks
 */
export default function planHedge(candidate: HedgeCandidate): HedgePlan {
  const { sentAfterMs, targetLatencyMs, slownessAtStart = 1 } = candidate;
  const { probeAllowanceMs, lateFactor, slowCheckMs } = hedgeLimits;
  const usualMs = estimateUsualMs(candidate);
  const lastUsefulMs = targetLatencyMs - usualMs - probeAllowanceMs;
  if (slownessAtStart > placementLimits.usualSlowness) {
    return { firstCheckMs: sentAfterMs + slowCheckMs, lastUsefulMs };
  }
  const lateMs = sentAfterMs + usualMs * lateFactor;
  const earliestMs = sentAfterMs + usualMs;
  return { firstCheckMs: Math.max(earliestMs, Math.min(lateMs, lastUsefulMs)), lastUsefulMs };
}
