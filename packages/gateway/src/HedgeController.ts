import isHedgeWorthwhile from '@guavayard/core/hedging/isHedgeWorthwhile';
import hedgeLimits from '@guavayard/core/hedging/hedgeLimits';
import type HedgeCandidate from '@guavayard/core/hedging/HedgeCandidate';
import planHedge from '@guavayard/core/hedging/planHedge';
import hasFreeSlot from '@guavayard/core/placement/hasFreeSlot';
import isAtUsualSpeed from '@guavayard/core/placement/isAtUsualSpeed';
import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';

import type Attempt from './Attempt';
import describePlacement from './describePlacement';
import type ExchangeDependencies from './ExchangeDependencies';
import type GatewayRequest from './GatewayRequest';
import type PlacementRequest from './PlacementRequest';

/** Longest wait for the probe of the running target, in milliseconds. */
const RUNNING_PROBE_WAIT_MS = 20;
/** Longest wait for the probes of free targets, in milliseconds. */
const FREE_PROBE_WAIT_MS = 15;

interface HedgeListener {
  /** Returns the limit of the request itself that keeps it from being sent twice, if any. */
  readonly findLimit: () => 'attempts' | 'body' | undefined;
  /** Called with the target of the second attempt, on which a slot is held until `release`. */
  readonly onPlaced: (target: PlacedTarget, release: Attempt['release']) => void;
}

interface HedgeControllerOptions {
  readonly dependencies: Pick<ExchangeDependencies, 'clock' | 'placement' | 'pool' | 'prober'>;
  readonly request: GatewayRequest;
  /** Ids of the targets of earlier attempts, the running one included. */
  readonly triedIds: readonly string[];
}

/** Sends a second attempt of one request, once, if the first is late and another target is free. */
export default class HedgeController {
  /**
   * What came of hedging the request, for the log: the limit that did not allow it, or whether the
   * hedge was answered first. Undefined if no hedge was wanted.
   */
  outcome: string | undefined;

  private timer: NodeJS.Timeout | undefined;

  /** What follows the probes that are under way. */
  private next: (() => void) | undefined;

  private checks = 0;

  private isSent = false;

  constructor(
    private readonly options: HedgeControllerOptions,
    private readonly listener: HedgeListener,
  ) {}

  /**
   * Watches the only running attempt.
   *
   * @param attempt - the attempt, which has been sent now
   */
  start(attempt: Attempt): void {
    const { dependencies: { placement }, request: { route, relayedBy } } = this.options;
    this.stop();
    // The entry that relayed a request has counted it, so this one has no share for its hedge.
    if (!placement.hedges || this.isSent || !route.isIdempotent || relayedBy !== undefined) return;
    const { firstCheckMs } = planHedge(this.describe(attempt));
    this.checks = 0;
    this.schedule(attempt, firstCheckMs - this.elapsedMs);
  }

  stop(): void {
    clearTimeout(this.timer);
    this.next = undefined;
  }

  /** Records which attempt was answered first. */
  recordWinner(attempt: Attempt): void {
    if (this.isSent) this.outcome = attempt.isHedge ? 'won' : 'lost';
  }

  private get elapsedMs(): number {
    return this.options.dependencies.clock() - this.options.request.arrivedAtMs;
  }

  private schedule(attempt: Attempt, delayMs: number): void {
    this.timer = setTimeout(() => this.check(attempt), Math.max(0, delayMs));
  }

  private describe({ startedAtMs, slowness }: Attempt): HedgeCandidate {
    const { dependencies: { placement }, request } = this.options;
    return {
      sentAfterMs: startedAtMs - request.arrivedAtMs,
      usualMs: placement.usualMs(request.service),
      targetLatencyMs: request.route.targetLatencyMs,
      slownessAtStart: slowness,
    };
  }

  private findLimit(): string | undefined {
    const { dependencies: { placement }, request } = this.options;
    return this.listener.findLimit() ?? placement.findHedgeLimit(request.service);
  }

  /** Whether an attempt still waits for its response. */
  private static isWaiting({ isOver, status }: Attempt): boolean {
    return !isOver && status === undefined;
  }

  private check(attempt: Attempt): void {
    if (!HedgeController.isWaiting(attempt)) return;
    const { prober, pool, clock } = this.options.dependencies;
    this.checks += 1;
    const limit = this.findLimit();
    if (limit !== undefined) {
      this.postpone(attempt, limit);
      return;
    }
    const { target } = attempt;
    const nowMs = clock();
    const mayWaitForSlot = pool.paths.answersProbesAtOnce(target.record.service) === false;
    // It may reset the connection of a probe, which would pass for a path that does not work.
    const isFull = !hasFreeSlot(target, target.record.slots, nowMs);
    const isKnown = isAtUsualSpeed(target, nowMs) !== undefined;
    if (mayWaitForSlot || isFull || isKnown) this.decide(attempt);
    else {
      this.await(
        prober.probe([target], () => this.resume()),
        RUNNING_PROBE_WAIT_MS,
        () => this.decide(attempt),
      );
    }
  }

  /** Continues once probes have been answered, or after a time. */
  private await(pending: number, waitMs: number, next: () => void): void {
    clearTimeout(this.timer);
    if (pending === 0) {
      next();
      return;
    }
    this.next = next;
    this.timer = setTimeout(() => this.resume(), waitMs);
  }

  private resume(): void {
    const { next } = this;
    this.next = undefined;
    if (next === undefined) return;
    clearTimeout(this.timer);
    next();
  }

  private decide(attempt: Attempt): void {
    if (!HedgeController.isWaiting(attempt)) return;
    const { dependencies: { placement, prober }, request } = this.options;
    if (!this.isWorthwhile(attempt)) {
      this.postpone(attempt);
      return;
    }
    const targets = placement.findHedgeTargets(this.createRequest(), hedgeLimits.probes);
    if (targets.length === 0) {
      this.postpone(attempt, 'target');
      return;
    }
    const send = (): boolean => {
      if (!HedgeController.isWaiting(attempt) || this.isSent) return true;
      if (this.findLimit() !== undefined) return false;
      return placement.placeAtOnce(this.createRequest(), targets);
    };
    const pending = prober.probe(targets, (left) => {
      if (this.next === undefined) return;
      if (left === 0) this.resume();
      else if (send()) {
        this.next = undefined;
        clearTimeout(this.timer);
      }
    });
    this.await(pending, FREE_PROBE_WAIT_MS, () => {
      if (!send()) this.postpone(attempt, placement.findHedgeLimit(request.service) ?? 'target');
    });
  }

  private isWorthwhile(attempt: Attempt): boolean {
    const { pool, clock } = this.options.dependencies;
    const { target, startedAtMs } = attempt;
    const nowMs = clock();
    const { reading, probeSentAtMs } = target;
    const tellsLoad = pool.paths.answersProbesAtOnce(target.record.service) !== false;
    const isFresh = reading !== undefined && reading.sentAtMs > startedAtMs
      && isAtUsualSpeed(target, nowMs) !== undefined;
    const isUnanswered = probeSentAtMs !== undefined
      && nowMs - probeSentAtMs >= RUNNING_PROBE_WAIT_MS;
    return isHedgeWorthwhile({
      ...this.describe(attempt),
      elapsedMs: this.elapsedMs,
      slownessNow: tellsLoad && isFresh ? reading.slowness : undefined,
      // A full target may reset the connection of a probe, so a reset tells nothing.
      isSilent: tellsLoad && (isUnanswered || target.silentProbes > 0),
    });
  }

  /** Checks again later, while a second attempt can still meet the target latency. */
  private postpone(attempt: Attempt, limit?: string): void {
    if (limit !== undefined) this.outcome = `refused-${limit}`;
    const { maxChecks, checkIntervalMs } = hedgeLimits;
    const { lastUsefulMs } = planHedge(this.describe(attempt));
    if (this.checks >= maxChecks || this.elapsedMs + checkIntervalMs > lastUsefulMs) return;
    this.schedule(attempt, checkIntervalMs);
  }

  private createRequest(): PlacementRequest {
    const { request, triedIds, dependencies: { placement } } = this.options;
    return {
      ...describePlacement(request, triedIds),
      // What another entry has given up of a request limit is for the first attempt.
      permittedIds: [],
      isCanary: false,
      hasLargeBody: true,
      mayRelay: false,
      onPlaced: (target, release) => {
        if (!placement.takeHedge(request.service)) {
          release();
          return;
        }
        this.isSent = true;
        this.outcome = 'failed';
        this.listener.onPlaced(target, release);
      },
      onRefused: () => undefined,
    };
  }
}
