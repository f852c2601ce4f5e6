import type Logger from 'bunyan';

import type TargetSender from '@guavayard/core/dispatch/TargetSender';
import TokenBucket from '@guavayard/core/limits/TokenBucket';
import placementLimits from '@guavayard/core/placement/placementLimits';
import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';
import selectKeepAliveTargets from '@guavayard/core/placement/selectKeepAliveTargets';
import isResting from '@guavayard/core/rest/isResting';
import type Clock from '@guavayard/core/types/Clock';

import type Dialect from './Dialect';
import ProbeExchange from './ProbeExchange';
import type ProbeOutcomes from './ProbeOutcomes';
import type TargetPool from './TargetPool';

/** Share of the limit on probes that the entries use. */
const BUDGET_SHARE = 0.5;
/** Share of the limit on probes that they use for requests that need a new connection. */
const CONNECTION_SHARE = 0.4;
/** Interval at which targets are probed whose paths are in doubt, in milliseconds. */
const VERIFY_INTERVAL_MS = 200;
/** Such targets that are probed at a time. */
const VERIFIED_TARGETS = 6;

interface TargetProberOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly sender: TargetSender;
  readonly dialect: Dialect;
  readonly pool: TargetPool;
  /** Maximum number of probes per second to one target from all entries. */
  readonly probesPerSecond: number;
}

/** Probes targets for their load right before a selection, within the budget of this entry. */
export default class TargetProber {
  private readonly bucket = new TokenBucket(0, 0);

  /** Budget of probes without which a request can't be sent. */
  private readonly connectionBucket = new TokenBucket(0, 0);

  /** Number of probes sent since the start. */
  count = 0;

  /** What came of the probes that were not answered. */
  readonly outcomes: ProbeOutcomes = { unwritten: 0, unanswered: 0 };

  private verifyTimer: NodeJS.Timeout | undefined;

  /** Position among those targets from which the next ones are probed. */
  private verified = 0;

  constructor(private readonly options: TargetProberOptions) {}

  /**
   * Probes targets without a fresh load reading, and those to which a new connection is needed.
   *
   * @param targets - the targets that are considered for a request
   * @param onUpdate - called after each probe that was answered or failed, with the number of
   *   pending probes
   * @returns the number of pending probes
   */
  probe(targets: readonly PlacedTarget[], onUpdate: (pending: number) => void): number {
    const nowMs = this.options.clock();
    this.refill(nowMs);
    const due = targets.filter((target) => (
      nowMs - (target.reading?.atMs ?? -Infinity) > placementLimits.freshReadingMs
        // Responses to requests do not tell whether it is cold.
        || nowMs - target.probedAtMs > placementLimits.freshProbeMs
        || !this.options.pool.paths.connections.maySend(target)
    ));
    let pending = 0;
    targets.forEach((target) => {
      const state = target;
      state.lastAskedAtMs = nowMs;
    });
    due.forEach((target) => {
      const needsConnection = !this.options.pool.paths.connections.maySend(target);
      if (!this.ensureProbe(target, nowMs, needsConnection)) return;
      pending += 1;
      target.probeWaiters?.push(() => {
        pending -= 1;
        onUpdate(pending);
      });
    });
    return pending;
  }

  /**
   * Gives up a part of the budget, which another entry may use.
   *
   * @param count - probes to give up
   * @returns the probes that the budget allowed to give up
   */
  giveUp(count: number): number {
    const nowMs = this.options.clock();
    this.refill(nowMs);
    const given = Math.min(count, Math.max(0, Math.floor(this.bucket.available(nowMs))));
    this.bucket.take(given);
    return given;
  }

  /** Adds what another entry has given up of its budget. */
  addBudget(probes: number): void {
    this.bucket.take(-probes);
  }

  /** Probes targets in use whose idle connections would otherwise expire. */
  keepConnectionsAlive(): void {
    const { pool, clock } = this.options;
    const nowMs = clock();
    this.refill(nowMs);
    selectKeepAliveTargets(pool.findNearTargets(), nowMs)
      .forEach((target) => this.ensureProbe(target, nowMs));
  }

  /** Probes targets whose request limit nobody has confirmed for a long time. */
  verifyLimits(): void {
    const { pool, clock } = this.options;
    const nowMs = clock();
    this.refill(nowMs);
    pool.findNearTargets().filter((target) => pool.limits.isUnverified(target))
      .forEach((target) => this.ensureProbe(target, nowMs));
  }

  /**
   * Probes targets whose paths are in doubt, until they answer or are in doubt no more.
   */
  private verifyPaths(): void {
    const { pool, clock } = this.options;
    const nowMs = clock();
    this.refill(nowMs);
    const targets = pool.paths.findDoubtful();
    this.verifyTimer = undefined;
    if (targets.length === 0) return;
    const start = this.verified % targets.length;
    this.verified += VERIFIED_TARGETS;
    [...targets.slice(start), ...targets.slice(0, start)].slice(0, VERIFIED_TARGETS)
      .forEach((target) => this.ensureProbe(target, nowMs));
    this.startVerifying();
  }

  /** Starts to probe targets whose paths are in doubt. */
  startVerifying(): void {
    this.verifyTimer ??= setTimeout(() => this.verifyPaths(), VERIFY_INTERVAL_MS);
  }

  /** Starts a probe unless one is in flight, whose response serves this selection as well. */
  private ensureProbe(target: PlacedTarget, nowMs: number, needsConnection = false): boolean {
    if (target.probeWaiters !== undefined) return true;
    if (isResting(target, nowMs)) return false;
    const path = this.options.pool.healthPathOf(target.record.service);
    if (path === undefined) return false;
    const isAllowed = this.bucket.tryTake(1, nowMs)
      || (needsConnection && this.connectionBucket.tryTake(1, nowMs));
    if (!isAllowed) return false;
    this.sendProbe(target, path);
    return target.probeWaiters !== undefined;
  }

  private refill(nowMs: number): void {
    const { pool, probesPerSecond } = this.options;
    const entryCount = pool.share.findCount(nowMs);
    // Until the entries are known, as many as targets are assumed.
    const limit = probesPerSecond * pool.targetCount;
    const rate = entryCount === undefined ? probesPerSecond : (limit * BUDGET_SHARE) / entryCount;
    this.bucket.setRate(rate, rate, nowMs);
    if (entryCount === undefined) return;
    const connectionRate = (limit * CONNECTION_SHARE) / entryCount;
    this.connectionBucket.setRate(connectionRate, Math.max(1, connectionRate), nowMs);
  }

  private sendProbe(target: PlacedTarget, path: string): void {
    this.count += 1;
    new ProbeExchange(this.options, this.outcomes, target).start(path);
  }
}
