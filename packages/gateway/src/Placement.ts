import hedgeLimits from '@guavayard/core/hedging/hedgeLimits';
import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';
import RetryBudget from '@guavayard/core/placement/RetryBudget';
import type RetryGrant from '@guavayard/core/placement/RetryGrant';
import AttemptBudget from '@guavayard/core/retries/AttemptBudget';
import type Clock from '@guavayard/core/types/Clock';
import type Random from '@guavayard/core/types/Random';

import PlacementQueue from './PlacementQueue';
import type PlacementRequest from './PlacementRequest';
import type TargetPool from './TargetPool';
import type TargetProber from './TargetProber';

interface PlacementOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly pool: TargetPool;
  readonly prober: TargetProber;
  readonly retryRatio: number;
  readonly retrySlack: number;
  readonly retryWindowMs: number;
  /** Start of this process, by the clock. */
  readonly startedAtMs: number;
  /** Hedges for each first request of a service, from 0 to 1; undefined to hedge nothing. */
  readonly hedgeShare?: number | undefined;
}

/** Assigns the requests of all services to targets, and holds the retry budget of each service. */
export default class Placement {
  private readonly queues = new Map<string, PlacementQueue>();

  private readonly budgets = new Map<string, RetryBudget>();

  private readonly hedgeShares = new Map<string, AttemptBudget>();

  private refusals = 0;

  constructor(private readonly options: PlacementOptions) {}

  /** Number of retries that the budgets have not allowed since the start. */
  get refusedRetries(): number {
    return this.refusals;
  }

  /** Number of requests of all services that wait for a target in this entry. */
  get waiting(): number {
    return [...this.queues.values()].reduce((sum, { length }) => sum + length, 0);
  }

  /** @returns the number of requests of a service that wait for a target in this entry */
  waitingFor(service: string): number {
    return this.queues.get(service)?.length ?? 0;
  }

  /**
   * Finds a target for an attempt of a request.
   *
   * @param request - the request
   * @returns a function that removes the request from the queue
   */
  place(request: PlacementRequest): () => void {
    return this.queueOf(request.service).place(request);
  }

  /** Records the first attempt of a caller's request, which the retry budget is a share of. */
  recordFirst(service: string): void {
    this.budgetOf(service).recordFirst(this.options.clock());
    this.hedgeShareOf(service)?.recordFirst();
  }

  /**
   * Takes a retry from the budget of a service.
   *
   * @param service - the service
   * @returns undefined if the budget is exhausted
   */
  takeRetry(service: string): RetryGrant | undefined {
    const { pool, clock } = this.options;
    const nowMs = clock();
    const grant = this.budgetOf(service).take(nowMs, pool.share.findShare(nowMs));
    if (grant === undefined) this.refusals += 1;
    return grant;
  }

  /** @returns whether the budget allows a retry of a request to a service */
  mayRetry(service: string): boolean {
    const { pool, clock } = this.options;
    const nowMs = clock();
    return this.budgetOf(service).hasLeft(nowMs, pool.share.findShare(nowMs));
  }

  /** Whether late requests are hedged. */
  get hedges(): boolean {
    return (this.options.hedgeShare ?? 0) > 0;
  }

  /**
   * Finds the limit that keeps a request from being hedged now.
   *
   * @param service - the service
   * @returns the limit; undefined if a hedge is allowed
   */
  findHedgeLimit(service: string): 'share' | 'budget' | 'queue' | undefined {
    const { pool, clock } = this.options;
    const nowMs = clock();
    if (this.hedgeShareOf(service)?.hasTokens() !== true) return 'share';
    // The requests that wait need the next free slots.
    if (this.queues.get(service)?.hasUnplaced === true) return 'queue';
    const share = pool.share.findShare(nowMs);
    return this.budgetOf(service).hasLeft(nowMs, share, true) ? undefined : 'budget';
  }

  /**
   * Takes a hedge that is sent now from the share of hedges and from the retry budget.
   *
   * @param service - the service
   * @returns false if a limit does not allow it
   */
  takeHedge(service: string): boolean {
    const { pool, clock } = this.options;
    const nowMs = clock();
    if (this.findHedgeLimit(service) !== undefined) return false;
    const grant = this.budgetOf(service).take(nowMs, pool.share.findShare(nowMs), true);
    if (grant === undefined) return false;
    grant.recordSent(nowMs);
    this.hedgeShareOf(service)?.take();
    return true;
  }

  /** @returns the usual duration of a request to a service in ms, undefined while unknown */
  usualMs(service: string): number | undefined {
    return this.queues.get(service)?.usualMs;
  }

  /**
   * Selects targets for a second attempt of a request.
   *
   * @param request - the request
   * @param count - most targets
   * @returns targets near this entry that may take it if a probe shows them free, the best first
   */
  findHedgeTargets(request: PlacementRequest, count: number): PlacedTarget[] {
    return this.queueOf(request.service).findHedgeTargets(request, count);
  }

  /**
   * Places a second attempt on one of some targets that has a free slot at its usual speed.
   *
   * @param request - the request; its `onPlaced` is called before this returns
   * @param targets - the targets, with fresh readings
   * @returns false if there is none
   */
  placeAtOnce(request: PlacementRequest, targets: readonly PlacedTarget[]): boolean {
    return this.queueOf(request.service).placeAtOnce(request, targets);
  }

  private hedgeShareOf(service: string): AttemptBudget | undefined {
    const { hedgeShare } = this.options;
    if (hedgeShare === undefined || hedgeShare === 0) return undefined;
    const known = this.hedgeShares.get(service);
    if (known !== undefined) return known;
    // No hedge is granted in advance, so all entries stay within the share at every moment.
    const share = new AttemptBudget(hedgeShare, 0, hedgeLimits.maxSaved);
    this.hedgeShares.set(service, share);
    return share;
  }

  private queueOf(service: string): PlacementQueue {
    const known = this.queues.get(service);
    if (known !== undefined) return known;
    const queue = new PlacementQueue(this.options);
    this.queues.set(service, queue);
    return queue;
  }

  private budgetOf(service: string): RetryBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) return known;
    const {
      retryRatio, retrySlack, retryWindowMs, startedAtMs,
    } = this.options;
    const budget = new RetryBudget({
      ratio: retryRatio, slack: retrySlack, windowMs: retryWindowMs, startedAtMs,
    });
    this.budgets.set(service, budget);
    return budget;
  }
}
