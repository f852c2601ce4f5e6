import estimateLoad from './estimateLoad';
import type PlacedTarget from './PlacedTarget';
import placementLimits from './placementLimits';
import estimateRejectShare from './estimateRejectShare';

/** Cost of a target that reports itself as unable to serve: it is used only as a last resort. */
const UNHEALTHY_COST = 100;

/**
 * Estimates how long a request would take on a target, relative to an idle target.
 *
 * Load pattern: noisy neighbours slow a target by several times for fractions of a second, and a
 * target near its concurrency limit slows all the requests that it runs.
 *
 * @param target - the target
 * @param kneeSlowdown - factor by which work takes longer above the concurrency knee
 * @param nowMs - monotonic clock
 * @returns the cost, 1 for an idle target at its usual speed
 */
export default function estimateCost(
  target: PlacedTarget,
  kneeSlowdown: number,
  nowMs: number,
): number {
  const load = estimateLoad(target, nowMs);
  const { slots } = target.record;
  const usedShare = (load + 1) / slots;
  const slowdown = usedShare > placementLimits.kneeShare ? kneeSlowdown : 1;
  const queueing = Math.max(0, load + 1 - slots) / slots;
  const { reading } = target;
  const isFresh = reading !== undefined && nowMs - reading.atMs <= placementLimits.speedMaxAgeMs;
  const slowness = isFresh ? reading.slowness : placementLimits.unknownSlowness;
  const failureFactor = (1 + 4 * target.failureShare)
    * (1 + placementLimits.rejectCost * estimateRejectShare(target, nowMs));
  const unhealthyCost = target.isUnhealthy ? UNHEALTHY_COST : 0;
  return (slowness * slowdown + queueing + 0.2 * usedShare) * failureFactor + unhealthyCost;
}
