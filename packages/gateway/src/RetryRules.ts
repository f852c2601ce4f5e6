import type ReplayableBody from '@guavayard/caller/ReplayableBody';
import hasFreeSlot from '@guavayard/core/placement/hasFreeSlot';
import isConfirmed from '@guavayard/core/placement/isConfirmed';

import type Attempt from './Attempt';
import type ExchangeDependencies from './ExchangeDependencies';
import type GatewayRequest from './GatewayRequest';

/**
 * Retry delay for a caller whose request was refused by a target with a free slot, in milliseconds.
 * It is short because another entry selects another target, so there is nothing to wait for; random
 * jitter of up to the same length spreads the retries.
 */
const REJECTED_RETRY_AFTER_MS = 30;

/** Decides whether one request may be sent to a further target, or when its caller may return. */
export default class RetryRules {
  /**
   * @param dependencies - components of the entry
   * @param request - the request
   * @param body - its body
   * @param triedIds - ids of the targets that it was sent to
   */
  constructor(
    private readonly dependencies: Pick<ExchangeDependencies, 'clock' | 'placement' | 'pool' | 'prober' | 'crashes'>,
    private readonly request: GatewayRequest,
    private readonly body: Pick<ReplayableBody, 'isReplayable' | 'isComplete'>,
    private readonly triedIds: readonly string[],
  ) {}

  /**
   * Returns whether the rules of the route allow a further attempt.
   *
   * @param verdict - classification of the last attempt
   * @returns false if the request must not be sent again
   */
  canRetry(verdict: NonNullable<Attempt['verdict']>): boolean {
    const { route, deadlineMs, fingerprint } = this.request;
    const mayRetry = verdict === 'not-run' || route.isIdempotent;
    const hasTime = deadlineMs - this.dependencies.clock() > 1;
    const hasAttempts = this.triedIds.length < route.maxAttempts;
    const isAllowed = !this.dependencies.crashes.isQuarantined(fingerprint);
    return mayRetry && hasTime && hasAttempts && isAllowed && this.body.isReplayable;
  }

  /** @returns the limit of the request that forbids two attempts at once, undefined without one */
  findHedgeLimit(): 'attempts' | 'body' | undefined {
    if (!this.body.isComplete) return 'body';
    return this.canRetry('spoiled') ? undefined : 'attempts';
  }

  /**
   * Returns whether an attempt without a response can be replaced by one on another target.
   *
   * @param onConnected - called once a free target has a connection that none had before
   * @returns true if a target with a free slot can be sent to now
   */
  canMove(onConnected: () => void): boolean {
    const {
      clock, placement, pool, prober,
    } = this.dependencies;
    const { service, route: { homeRegions }, permittedIds } = this.request;
    if (!this.canRetry('spoiled') || !placement.mayRetry(service)) return false;
    const nowMs = clock();
    const { connections } = pool.paths;
    const free = pool.findEligible(service, homeRegions, this.triedIds, permittedIds)
      .filter((target) => isConfirmed(target) && connections.hasRoom(target)
        && hasFreeSlot(target, target.record.slots, nowMs));
    const canSend = free.some((target) => connections.maySend(target));
    if (!canSend) {
      prober.probe(free.slice(0, 1), () => {
        if (free.some((target) => connections.maySend(target))) onConnected();
      });
    }
    return canSend;
  }

  /** @returns when a caller may return whose request targets refused, in milliseconds */
  estimateReturn(): number {
    const { pool } = this.dependencies;
    const { service, route: { homeRegions } } = this.request;
    const soonMs = REJECTED_RETRY_AFTER_MS * (1 + Math.random());
    if (pool.findEligible(service, homeRegions, []).length > 0) return soonMs;
    return pool.estimateWaitMs(service, homeRegions, [], 0) ?? soonMs;
  }
}
