import AdmissionControl from '@guavayard/core/placement/AdmissionControl';
import estimateLoad from '@guavayard/core/placement/estimateLoad';
import isAtUsualSpeed from '@guavayard/core/placement/isAtUsualSpeed';
import placementLimits from '@guavayard/core/placement/placementLimits';
import selectCandidates from '@guavayard/core/placement/selectCandidates';
import ServiceSpeed from '@guavayard/core/placement/ServiceSpeed';
import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';
import type Clock from '@guavayard/core/types/Clock';
import type Random from '@guavayard/core/types/Random';
import type Failure from '@guavayard/core/errors/Failure';

import FarSearchPause from './FarSearchPause';
import type PlacementRequest from './PlacementRequest';
import type TargetPool from './TargetPool';
import type TargetProber from './TargetProber';
import TargetRanking from './TargetRanking';

/** Maximum number of queued requests that search for a target at the same time. */
const MAX_SEARCHES = 4;
/** Pause before queued requests search again, in milliseconds; doubles while no slot is free. */
const SEARCH_PAUSE_MS = 20;
const MAX_SEARCH_PAUSE_MS = 80;
/** Search rounds among near targets before others are probed, while near ones are left. */
const NEAR_ROUNDS = 3;
/** Wait limit for a target at its usual speed, as a share of the target latency. */
const WAIT_LIMIT_SHARE = 0.3;
/** Longest wait for probes of targets in the same region, in milliseconds. */
const NEAR_PROBE_WAIT_MS = 15;
/** Longest wait for probes of targets in other regions, in milliseconds. */
const FAR_PROBE_WAIT_MS = 45;
/** Cost below which a target is selected without waiting for further probes. */
const GOOD_COST = 1.35;

interface QueuedRequest {
  readonly request: PlacementRequest;
  readonly arrivedAtMs: number;
  /** When it is refused unless it has been assigned by then. */
  readonly refusedAtMs: number;
  isSearching: boolean;
  /** Whether targets of other regions are being probed for it, beside those of its own. */
  isSearchingFar: boolean;
  /** Completed searches that found no free slot. */
  searchRounds: number;
  isDone: boolean;
  timer: NodeJS.Timeout | undefined;
  waitLimitTimer: NodeJS.Timeout | undefined;
}

interface PlacementQueueOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly pool: TargetPool;
  readonly prober: TargetProber;
}

/** Queue of the requests of one service that wait for a target in this entry. */
export default class PlacementQueue {
  private readonly queue: QueuedRequest[] = [];

  private readonly admission = new AdmissionControl();

  private readonly speed = new ServiceSpeed();

  private readonly ranking: TargetRanking;

  private readonly farPause: FarSearchPause;

  private pause: NodeJS.Timeout | undefined;

  private pauseMs = SEARCH_PAUSE_MS;

  constructor(private readonly options: PlacementQueueOptions) {
    this.ranking = new TargetRanking({ ...options, speed: this.speed });
    this.farPause = new FarSearchPause(options.clock);
  }

  /** Number of queued requests. */
  get length(): number {
    return this.queue.length;
  }

  /** Whether a request waits that has searched for a free target in vain. */
  get hasUnplaced(): boolean {
    return this.queue.some(({ searchRounds }) => searchRounds > 0);
  }

  /** Usual duration of a request in milliseconds, undefined while there are too few samples. */
  get usualMs(): number | undefined {
    return this.speed.usualMs;
  }

  /** @returns up to a number of targets for a second attempt of a request, the best first */
  findHedgeTargets(request: PlacementRequest, count: number): PlacedTarget[] {
    return this.ranking.findHedgeTargets(request, count);
  }

  /**
   * Places a request, without queueing it, on one of some targets that has a free slot at its usual
   * speed by a fresh reading.
   *
   * @param request - the request
   * @param targets - the targets
   * @returns false if there is none
   */
  placeAtOnce(request: PlacementRequest, targets: readonly PlacedTarget[]): boolean {
    const nowMs = this.options.clock();
    const usable = targets
      .filter((target) => !target.isUnhealthy && isAtUsualSpeed(target, nowMs) === true);
    const best = this.ranking.findBest(request, usable, Infinity);
    if (best === undefined) return false;
    this.hold(request, best);
    return true;
  }

  /**
   * Finds a target for a request, now or once one has a free slot.
   *
   * @param request - the request
   * @returns a function that removes the request from the queue
   */
  place(request: PlacementRequest): () => void {
    const { clock } = this.options;
    const nowMs = clock();
    const { priority, targetLatencyMs } = request;
    const remainingMs = request.deadlineMs - nowMs;
    const longestWaitMs = AdmissionControl.longestWaitMs({ targetLatencyMs, remainingMs });
    const queued: QueuedRequest = {
      request,
      arrivedAtMs: nowMs,
      refusedAtMs: nowMs + longestWaitMs,
      isSearching: false,
      isSearchingFar: false,
      searchRounds: 0,
      isDone: false,
      timer: undefined,
      waitLimitTimer: undefined,
    };
    const ahead = this.queue.filter((other) => other.request.priority <= priority).length;
    if (!this.admission.mayWait({ targetLatencyMs, remainingMs, ahead }, nowMs)) {
      const kind = request.mayRelay && this.options.pool.paths.isCutOff(request.service)
        ? 'targetsUnreachable' : 'overloaded';
      this.refuse(queued, { kind, detail: `${ahead} requests wait` });
      return () => undefined;
    }
    queued.timer = setTimeout(() => {
      this.refuse(queued, this.explainTimeout(queued));
    }, longestWaitMs);
    // The search at the wait limit may select a target that was too slow before.
    queued.waitLimitTimer = setTimeout(() => {
      if (!queued.isDone && !queued.isSearching) this.search(queued);
    }, Math.min(targetLatencyMs * WAIT_LIMIT_SHARE, longestWaitMs));
    this.enqueue(queued);
    // Decided on arrival, as the requests ahead may keep this one from searching until it is late.
    if (this.ranking.findEligible(request).length === 0) this.awaitLimit(queued);
    else this.startSearches();
    return () => this.remove(queued);
  }

  private enqueue(queued: QueuedRequest): void {
    const index = this.queue
      .findIndex(({ request }) => request.priority > queued.request.priority);
    if (index < 0) this.queue.push(queued);
    else this.queue.splice(index, 0, queued);
  }

  private remove(queued: QueuedRequest): void {
    const state = queued;
    state.isDone = true;
    clearTimeout(state.timer);
    clearTimeout(state.waitLimitTimer);
    const index = this.queue.indexOf(queued);
    if (index >= 0) this.queue.splice(index, 1);
    if (this.queue.length === 0) this.admission.resetDispatchRate();
  }

  private refuse(queued: QueuedRequest, failure: Failure, waitMs?: number): void {
    const { clock, random } = this.options;
    if (queued.isDone) return;
    this.remove(queued);
    const retryAfterMs = waitMs
      ?? this.admission.retryAfterMs(this.queue.length, random(), clock());
    queued.request.onRefused(failure, retryAfterMs);
  }

  private explainTimeout({ request: { service }, arrivedAtMs }: QueuedRequest): Failure {
    const { paths } = this.options.pool;
    return paths.reachability.isUnansweredSince(service, arrivedAtMs) || paths.isCutOff(service)
      ? { kind: 'targetsUnreachable', detail: 'no target answered in time' }
      : { kind: 'overloaded', detail: 'no slot was free in time' };
  }

  private startSearches(): void {
    const searching = this.queue.filter(({ isSearching }) => isSearching).length;
    // While no slot is free, a single search is enough to notice a change.
    const limit = this.pauseMs > SEARCH_PAUSE_MS ? 1 : MAX_SEARCHES;
    this.queue.filter(({ isSearching }) => !isSearching)
      .slice(0, Math.max(0, limit - searching))
      .forEach((queued) => this.search(queued));
  }

  private search(queued: QueuedRequest): void {
    const state = queued;
    const { request } = queued;
    const eligible = this.ranking.findEligible(request);
    if (eligible.length === 0) {
      this.awaitLimit(queued);
      return;
    }
    state.isSearching = true;
    const near = eligible.filter((target) => this.options.pool.isNear(target));
    this.probeAndAssign(queued, near, placementLimits.maxProbes, NEAR_PROBE_WAIT_MS, () => {
      this.searchFar(queued, near.length, eligible);
    });
  }

  /**
   * Keeps a request queued if the limit or the end of the rest of a target allows one in time, and
   * refuses it otherwise, also if there is no target at all.
   */
  private awaitLimit(queued: QueuedRequest): void {
    const { pool, clock } = this.options;
    const { request, refusedAtMs } = queued;
    const ahead = Math.max(0, this.queue.indexOf(queued));
    const waitMs = pool
      .estimateWaitMs(request.service, request.homeRegions, request.triedIds, ahead);
    if (waitMs === undefined) {
      const kind = pool.paths.isCutOff(request.service) ? 'targetsUnreachable' : 'noTarget';
      this.refuse(queued, { kind, detail: `service "${request.service}"` });
    } else if (clock() + waitMs <= refusedAtMs) {
      this.scheduleSearch(waitMs);
    } else {
      pool.limits.recordReturn(waitMs);
      const detail = 'the targets have reached their limits or asked for time';
      this.refuse(queued, { kind: 'overloaded', detail }, waitMs);
    }
  }

  /**
   * Searches other regions, whose links are slow and billed by volume, once all near targets or
   * those of three search rounds had no free slot. Near targets are searched again meanwhile: a
   * slot that becomes free there would be missed for as long as probes of other regions take.
   */
  private searchFar(
    queued: QueuedRequest,
    nearCount: number,
    eligible: readonly PlacedTarget[],
  ): void {
    const state = queued;
    const { pool } = this.options;
    if (queued.request.mayRelay && pool.paths.isCutOff(queued.request.service)) {
      this.refuse(queued, { kind: 'targetsUnreachable', detail: 'most targets cannot be reached' });
      return;
    }
    const far = this.selectFar(queued, nearCount, eligible);
    state.searchRounds += 1;
    if (far.length === 0) {
      this.endSearch(queued);
      return;
    }
    state.isSearchingFar = true;
    if (nearCount > 0) this.endSearch(queued);
    this.probeWave(queued, far, FAR_PROBE_WAIT_MS, () => this.costLimit(queued), () => {
      state.isSearchingFar = false;
      this.farPause.recordNone();
      if (nearCount === 0) this.endSearch(queued);
    });
  }

  /** Selects the targets of other regions to probe in a search round; none if it is not due. */
  private selectFar(
    queued: QueuedRequest,
    nearCount: number,
    eligible: readonly PlacedTarget[],
  ): PlacedTarget[] {
    const probed = (queued.searchRounds + 1) * placementLimits.maxProbes;
    const isNearFull = probed >= nearCount || queued.searchRounds >= NEAR_ROUNDS - 1;
    const isDue = !queued.request.hasLargeBody && !queued.isSearchingFar
      && this.farPause.isOver;
    if (nearCount > 0 && !(isNearFull && isDue)) return [];
    const { maxRemoteProbes } = placementLimits;
    const far = eligible.filter((target) => !this.options.pool.isNear(target));
    const candidates = selectCandidates(far, maxRemoteProbes, queued.searchRounds);
    return this.ranking.rank(candidates, maxRemoteProbes);
  }

  private endSearch(queued: QueuedRequest): void {
    const state = queued;
    state.isSearching = false;
    this.scheduleSearch();
  }

  /** Probes some targets in waves and selects the best; calls `onNone` if none is acceptable. */
  private probeAndAssign(
    queued: QueuedRequest,
    targets: readonly PlacedTarget[],
    probes: number,
    waitMs: number,
    onNone: () => void,
  ): void {
    if (targets.length === 0) {
      onNone();
      return;
    }
    const candidates = selectCandidates(targets, probes, queued.searchRounds);
    const probed = this.ranking.rank(candidates, probes);
    const { firstProbes, secondProbes } = placementLimits;
    const first = probed.slice(0, firstProbes);
    const second = probed.slice(0, secondProbes);
    this.probeWave(queued, first, waitMs, () => GOOD_COST, () => {
      this.probeWave(queued, second, waitMs, () => GOOD_COST, () => {
        this.probeWave(queued, probed, waitMs, () => this.costLimit(queued), onNone);
      });
    });
  }

  /** Probes targets in parallel and selects the best below a cost; calls `onNone` without one. */
  private probeWave(
    queued: QueuedRequest,
    probed: readonly PlacedTarget[],
    waitMs: number,
    costLimit: () => number,
    onNone: () => void,
  ): void {
    let timer: NodeJS.Timeout | undefined;
    let isDecided = false;
    const decide = (): void => {
      if (isDecided) return;
      isDecided = true;
      clearTimeout(timer);
      if (!queued.isDone && !this.tryAssign(queued, probed, costLimit())) onNone();
    };
    const pending = this.options.prober.probe(probed, (left) => {
      if (isDecided) return;
      if (left === 0) decide();
      else if (queued.isDone || this.tryAssign(queued, probed, GOOD_COST)) {
        isDecided = true;
        clearTimeout(timer);
      }
    });
    if (pending === 0) decide();
    else timer = setTimeout(decide, waitMs);
  }

  /**
   * Returns the cost below which a target is acceptable for a request. A request on a slowed target
   * takes as long as several on others. It therefore waits for a target at its usual speed, and
   * accepts a slow one only past its wait limit and if no other request is queued.
   */
  private costLimit({ arrivedAtMs, request }: QueuedRequest): number {
    const waitLimitMs = arrivedAtMs + request.targetLatencyMs * WAIT_LIMIT_SHARE;
    const isWithinWaitLimit = this.options.clock() < waitLimitMs || this.queue.length > 1;
    return isWithinWaitLimit ? placementLimits.maxCostWhileWaiting : Infinity;
  }

  private tryAssign(
    queued: QueuedRequest,
    targets: readonly PlacedTarget[],
    maxCost: number,
  ): boolean {
    const best = this.ranking.findBest(queued.request, targets, maxCost);
    if (best === undefined) return false;
    this.assign(queued, best);
    return true;
  }

  private assign(queued: QueuedRequest, target: PlacedTarget): void {
    const { pool, clock } = this.options;
    if (!pool.isNear(target)) this.farPause.recordFound();
    this.pauseMs = SEARCH_PAUSE_MS;
    this.remove(queued);
    this.admission.recordDispatch(clock());
    this.hold(queued.request, target);
    this.startSearches();
  }

  /** Holds a slot on a target for a request, and hands the request over. */
  private hold(request: PlacementRequest, target: PlacedTarget): void {
    const attempt = { sentAtMs: this.options.clock() };
    const used = (estimateLoad(target, attempt.sentAtMs) + 1) / target.record.slots;
    const slowness = target.reading?.slowness ?? placementLimits.unknownSlowness;
    target.inFlight.add(attempt);
    this.options.pool.recordSend(target, request.permittedIds, request.isCanary);
    request.onPlaced(target, (durationMs) => {
      if (!target.inFlight.delete(attempt)) return;
      if (durationMs !== undefined) this.speed.record(durationMs, slowness, used);
      this.offerSlot(target);
    });
  }

  /** Offers a freed slot without a probe to the first queued request that may use it. */
  private offerSlot(target: PlacedTarget): void {
    const first = this.queue.find((queued) => (
      this.tryAssign(queued, [target], this.costLimit(queued))
    ));
    if (first === undefined) this.startSearches();
  }

  private scheduleSearch(pauseMs?: number): void {
    this.pause ??= setTimeout(() => {
      this.pause = undefined;
      this.startSearches();
    }, pauseMs ?? this.pauseMs);
    if (pauseMs === undefined) this.pauseMs = Math.min(MAX_SEARCH_PAUSE_MS, this.pauseMs * 2);
  }
}
