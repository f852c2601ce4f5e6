import type Logger from 'bunyan';

import type AnswerHandler from '@guavayard/core/dispatch/AnswerHandler';
import type AnswerHeaders from '@guavayard/core/dispatch/AnswerHeaders';
import type Dispatch from '@guavayard/core/dispatch/Dispatch';
import type TargetSender from '@guavayard/core/dispatch/TargetSender';
import type Failure from '@guavayard/core/errors/Failure';
import parseKeepAliveTimeout from '@guavayard/core/http/parseKeepAliveTimeout';
import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';
import type Clock from '@guavayard/core/types/Clock';

import type Dialect from './Dialect';
import isRefusalStatus from './isRefusalStatus';
import type ProbeOutcomes from './ProbeOutcomes';
import type TargetPool from './TargetPool';

/** Steps of the timeout of a probe. Those in which this process stood still do not count. */
const TIMEOUT_STEPS = 8;
/** Maximum number of steps, so that probes end in a process whose timers are all late. */
const MAX_TIMEOUT_STEPS = 2 * TIMEOUT_STEPS;
const TIMEOUT_STEP_MS = 50;
/** Time for which a target that could not be reached is not considered, in milliseconds. */
const UNREACHABLE_MS = 300;
/** Silent probes in a row after which a target is logged, once until it answers. */
const LOGGED_SILENT_PROBES = 2;
const OK = 200;
/** Maximum length of the response to a probe, in bytes; only its headers are used. */
const MAX_PROBE_RESPONSE_BYTES = 16 * 1024;

interface ProbeExchangeOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly sender: TargetSender;
  readonly dialect: Dialect;
  readonly pool: TargetPool;
}

/** One probe of a target, from its start until it is answered, fails or runs into its timeout. */
export default class ProbeExchange implements AnswerHandler {
  private readonly sentAtMs: number;

  /** Whether the probe may wait for a free slot of the target, so that its delay tells nothing. */
  private readonly mayWaitForSlot: boolean;

  private dispatch: Dispatch | undefined;

  private timer: NodeJS.Timeout | undefined;

  private isWritten = false;

  private isTimedOut = false;

  private isDone = false;

  private receivedBytes = 0;

  /**
   * @param options - components of the entry
   * @param outcomes - counts to which the outcome is added
   * @param target - the target
   */
  constructor(
    private readonly options: ProbeExchangeOptions,
    private readonly outcomes: ProbeOutcomes,
    private readonly target: PlacedTarget,
  ) {
    this.sentAtMs = options.clock();
    this.mayWaitForSlot = options.pool.paths.answersProbesAtOnce(target.record.service) === false;
  }

  /**
   * Sends the probe.
   *
   * @param path - path of the health check of the target
   */
  start(path: string): void {
    const { target, sentAtMs } = this;
    const { sender, pool } = this.options;
    target.probeWaiters = [];
    target.probeSentAtMs = sentAtMs;
    target.lastSentAtMs = sentAtMs;
    if (!this.mayWaitForSlot) pool.paths.reachability.recordProbe(target);
    this.dispatch = sender.send(
      {
        address: target.record.address,
        connectionLimit: pool.paths.connections.limitOf(target),
      },
      {
        method: 'GET', path, headers: [], body: null, purpose: 'probe',
      },
      this,
    );
    this.awaitStep(TIMEOUT_STEPS, MAX_TIMEOUT_STEPS);
  }

  onConnected(): void {
    this.isWritten = true;
  }

  onHeaders(status: number, headers: AnswerHeaders): void {
    const { pool, clock, dialect } = this.options;
    const { target, sentAtMs } = this;
    pool.paths.recordAnswer(target);
    target.probedAtMs = sentAtMs;
    target.idleTimeoutMs = parseKeepAliveTimeout(headers['keep-alive']);
    const {
      targetId, load, coldLeftMs, requestLimit, restMs, isLeaving,
    } = dialect.readProbe(headers);
    if (targetId !== undefined && targetId !== target.record.id) {
      // Another target has the address; the update from control will follow.
      target.isUnhealthy = true;
      target.reading = undefined;
      return;
    }
    pool.paths.recordLoadReport(target, load !== undefined);
    target.isUnhealthy = status !== OK;
    if (isRefusalStatus(status) && restMs !== undefined) pool.notices.recordRest(target, restMs, 'probe');
    pool.limits.recordResponse(target, requestLimit, 'probe');
    pool.notices.recordLeaving(target, isLeaving, 'probe');
    if (coldLeftMs !== undefined) pool.notices.recordColdLeft(target, coldLeftMs);
    const figures = load ?? {
      running: target.inFlight.size, waiting: 0, slots: target.record.slots, slowness: 1,
    };
    target.reading = { ...figures, sentAtMs, atMs: clock() };
  }

  onData(chunk: Buffer): boolean {
    this.receivedBytes += chunk.length;
    // Pauses the response; the timeout ends the probe.
    return this.receivedBytes <= MAX_PROBE_RESPONSE_BYTES;
  }

  onEnd(): void {
    this.finish();
  }

  onFailure(failure: Failure): void {
    const { target } = this;
    const { pool, clock } = this.options;
    target.reading = undefined;
    // The target may be busy, and reads the probe once it has a free slot.
    if (this.isTimedOut && this.mayWaitForSlot) {
      this.finish();
      return;
    }
    target.unansweredProbes += 1;
    target.silentProbes = this.isTimedOut ? target.silentProbes + 1 : 0;
    if (target.silentProbes === LOGGED_SILENT_PROBES) this.logSilence();
    // What is no longer registered tells nothing of the others.
    if (pool.includes(target)) pool.paths.reachability.recordFailure(target);
    if (failure.kind === 'targetUnreachable') target.unreachableUntilMs = clock() + UNREACHABLE_MS;
    this.finish();
  }

  private logSilence(): void {
    const { record: { id, service }, inFlight } = this.target;
    const { isWritten } = this;
    this.options.log.warn({
      target: id, service, isWritten, inFlight: inFlight.size,
    }, 'target leaves its probes unanswered');
  }

  private finish(): void {
    if (this.isDone) return;
    this.isDone = true;
    clearTimeout(this.timer);
    const { target } = this;
    const waiters = target.probeWaiters ?? [];
    target.probeWaiters = undefined;
    target.probeSentAtMs = undefined;
    waiters.forEach((wake) => wake());
  }

  private awaitStep(stepsLeft: number, maxLeft: number): void {
    if (this.isDone) return;
    const { clock, pool } = this.options;
    const dueAtMs = clock() + TIMEOUT_STEP_MS;
    this.timer = setTimeout(() => {
      const stalledMs = Math.max(0, clock() - dueAtMs);
      pool.paths.reachability.recordStall(this.target, stalledMs);
      const left = stalledMs < TIMEOUT_STEP_MS ? stepsLeft - 1 : stepsLeft;
      if (left > 0 && maxLeft > 1) this.awaitStep(left, maxLeft - 1);
      else this.giveUp();
    }, TIMEOUT_STEP_MS);
  }

  private giveUp(): void {
    this.isTimedOut = true;
    this.outcomes[this.isWritten ? 'unanswered' : 'unwritten'] += 1;
    this.dispatch?.abort({ kind: 'targetUnreachable', detail: 'probe' });
  }
}
