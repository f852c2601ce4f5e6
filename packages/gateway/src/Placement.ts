import RetryBudget from '@guavayard/core/placement/RetryBudget';
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
}

/** Assigns the requests of all services to targets, and holds the retry budget of each service. */
export default class Placement {
  private readonly queues = new Map<string, PlacementQueue>();

  private readonly budgets = new Map<string, RetryBudget>();

  constructor(private readonly options: PlacementOptions) {}

  /** Number of requests of all services that wait for a target in this entry. */
  get waiting(): number {
    return [...this.queues.values()].reduce((sum, { length }) => sum + length, 0);
  }

  /**
   * Finds a target for the first attempt of a request.
   *
   * @param request - the request
   * @returns a function that removes the request from the queue
   */
  placeFirst(request: PlacementRequest): () => void {
    this.budgetOf(request.service).recordFirst(this.options.clock());
    return this.queueOf(request.service).place(request);
  }

  /**
   * Finds a target for a retry, if the retry budget of the service allows it.
   *
   * @param request - the request
   * @returns a function that removes the request from the queue; undefined if the budget is
   *   exhausted
   */
  placeRetry(request: PlacementRequest): (() => void) | undefined {
    const { pool, clock } = this.options;
    if (!this.budgetOf(request.service).take(clock(), pool.entryCount)) return undefined;
    return this.queueOf(request.service).place(request);
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
    const { retryRatio, retrySlack, retryWindowMs } = this.options;
    const budget = new RetryBudget({
      ratio: retryRatio, slack: retrySlack, windowMs: retryWindowMs,
    });
    this.budgets.set(service, budget);
    return budget;
  }
}
