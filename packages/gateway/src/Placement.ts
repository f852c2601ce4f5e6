import RetryBudget from '@guavayard/core/placement/RetryBudget';
import type Clock from '@guavayard/core/types/Clock';
import type Random from '@guavayard/core/types/Random';

import PlacementLane from './PlacementLane';
import type PlacementRequest from './PlacementRequest';
import type TargetBoard from './TargetBoard';
import type TargetProber from './TargetProber';

interface PlacementOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly board: TargetBoard;
  readonly prober: TargetProber;
  readonly retryRatio: number;
  readonly retrySlack: number;
  readonly retryWindowMs: number;
}

/** Places the requests of all services, and keeps the budgets of further attempts. */
export default class Placement {
  private readonly lanes = new Map<string, PlacementLane>();

  private readonly budgets = new Map<string, RetryBudget>();

  constructor(private readonly options: PlacementOptions) {}

  /** Requests that wait in this entry. */
  get waiting(): number {
    return [...this.lanes.values()].reduce((sum, { length }) => sum + length, 0);
  }

  /**
   * Finds a target for the first attempt of a request.
   *
   * @param request - the request
   * @returns takes the request out of the queue
   */
  placeFirst(request: PlacementRequest): () => void {
    this.budgetOf(request.service).recordFirst(this.options.clock());
    return this.laneOf(request.service).place(request);
  }

  /**
   * Finds a target for a further attempt, if the budget allows it.
   *
   * @param request - the request
   * @returns takes the request out of the queue; undefined if the budget is used up
   */
  placeAgain(request: PlacementRequest): (() => void) | undefined {
    const { board, clock } = this.options;
    if (!this.budgetOf(request.service).take(clock(), board.entryCount)) return undefined;
    return this.laneOf(request.service).place(request);
  }

  private laneOf(service: string): PlacementLane {
    const known = this.lanes.get(service);
    if (known !== undefined) return known;
    const lane = new PlacementLane(this.options);
    this.lanes.set(service, lane);
    return lane;
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
