import estimateCost from '@guavayard/core/placement/estimateCost';
import hasFreeSlot from '@guavayard/core/placement/hasFreeSlot';
import hasOpenConnection from '@guavayard/core/placement/hasOpenConnection';
import isAtUsualSpeed from '@guavayard/core/placement/isAtUsualSpeed';
import isConfirmed from '@guavayard/core/placement/isConfirmed';
import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';
import placementLimits from '@guavayard/core/placement/placementLimits';
import type ServiceSpeed from '@guavayard/core/placement/ServiceSpeed';
import type Clock from '@guavayard/core/types/Clock';

import type PlacementRequest from './PlacementRequest';
import type TargetPool from './TargetPool';

interface TargetRankingOptions {
  readonly clock: Clock;
  readonly pool: TargetPool;
  readonly speed: ServiceSpeed;
}

/** Compares the targets that may receive a request of one service. */
export default class TargetRanking {
  constructor(private readonly options: TargetRankingOptions) {}

  /** @returns the targets that may receive a request now */
  findEligible({
    service, homeRegions, triedIds, permittedIds, isCanary,
  }: PlacementRequest): PlacedTarget[] {
    return this.options.pool
      .findEligible(service, homeRegions, triedIds, permittedIds, isCanary);
  }

  /**
   * Ranks targets by cost. Affinity and open connections also count, to keep connections few, and
   * an unused share of a request limit, which would be lost.
   *
   * @param targets - the targets, those of highest affinity first
   * @param count - most targets to return
   * @returns the targets, the best first
   */
  rank(targets: readonly PlacedTarget[], count: number): PlacedTarget[] {
    const { clock, speed } = this.options;
    const nowMs = clock();
    return targets
      .map((target, index) => ({
        target,
        rank: estimateCost(target, speed.kneeSlowdown, nowMs) + index / targets.length
          + (hasOpenConnection(target, nowMs) ? 0 : placementLimits.connectPenalty)
          - (target.requestLimit === undefined ? 0 : placementLimits.limitPreference),
      }))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, count)
      .map(({ target }) => target);
  }

  /**
   * Finds the target of the lowest cost that can take a request now.
   *
   * @param request - the request
   * @param targets - the targets
   * @param maxCost - cost that it must be below
   * @returns the target, undefined if there is none
   */
  findBest(
    request: PlacementRequest,
    targets: readonly PlacedTarget[],
    maxCost: number,
  ): PlacedTarget | undefined {
    const { clock, speed, pool: { paths: { connections } } } = this.options;
    const nowMs = clock();
    const eligible = new Set(this.findEligible(request));
    let best: PlacedTarget | undefined;
    let bestCost = maxCost;
    targets.forEach((target) => {
      const limit = speed.bestConcurrency(target.record.slots, request.targetLatencyMs);
      if (!eligible.has(target) || !isConfirmed(target) || !connections.maySend(target)
        || !connections.hasRoom(target) || !hasFreeSlot(target, limit, nowMs)) return;
      const cost = estimateCost(target, speed.kneeSlowdown, nowMs);
      if (cost >= bestCost) return;
      best = target;
      bestCost = cost;
    });
    return best;
  }

  /**
   * Selects targets for a second attempt of a request, in this entry's region.
   *
   * @param request - the request
   * @param count - most targets
   * @returns targets that are not known to be full or slow, the best first
   */
  findHedgeTargets(request: PlacementRequest, count: number): PlacedTarget[] {
    const { clock, pool, speed } = this.options;
    const nowMs = clock();
    const near = this.findEligible(request).filter((target) => {
      if (!pool.isNear(target) || !isConfirmed(target) || target.isUnhealthy) return false;
      if (!pool.paths.connections.hasRoom(target)) return false;
      // An older reading tells neither that it is still full nor that it is still slow.
      const isUsual = isAtUsualSpeed(target, nowMs);
      const limit = speed.bestConcurrency(target.record.slots, request.targetLatencyMs);
      return isUsual === undefined || (isUsual && hasFreeSlot(target, limit, nowMs));
    });
    return this.rank(near, count);
  }
}
