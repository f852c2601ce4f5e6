import type AttemptResult from '@guavayard/core/scheduling/AttemptResult';
import type KnownTarget from '@guavayard/core/types/KnownTarget';

import type FakeExecution from './FakeExecution';
import type NoisePhases from './NoisePhases';
import type TargetFault from './TargetFault';
import type VirtualClock from './VirtualClock';

/** Requests that wait at the target, for each slot, before it sheds. */
const QUEUE_PER_SLOT = 32;
const FAIL_FAST_MS = 0.2;
const REPORT_LAG_MS = 100;
/** Answers after which a cold target carries its full load. */
const WARM_ANSWERS = 60;
const COLD_FACTOR = 4;

/** A target with slots, a queue, noise, cold start, shedding, draining and faults. */
export default class FakeTarget {
  /** Requests sent to it and not yet done, also those under way. */
  committed = 0;

  /** Those of them that are on their way from another region. */
  remoteUnderWay = 0;

  /** Time that slots were busy, in milliseconds. */
  busyMs = 0;

  /** Most requests above what it could bear while it was cold. */
  overBearing = 0;

  fault: TargetFault | undefined;

  /** Called when a request is done. */
  onFree: (() => void) | undefined;

  private readonly running = new Set<FakeExecution>();

  private waiting: FakeExecution[] = [];

  private coldAnswers: number;

  private laggingReport = 0;

  private laggingAtMs = 0;

  constructor(
    public known: KnownTarget,
    readonly region: string,
    private readonly clock: VirtualClock,
    private readonly noise: NoisePhases,
  ) {
    this.coldAnswers = known.state === 'cold' ? 0 : WARM_ANSWERS;
  }

  /** @returns how many times slower it is now */
  get slowFactor(): number {
    return this.noise.factorAt(this.clock.nowMs) * this.coldFactor;
  }

  /** @returns requests that it can bear at the same time */
  get bearing(): number {
    if (this.coldAnswers >= WARM_ANSWERS) return Infinity;
    return 1 + Math.floor((this.known.slots * this.coldAnswers) / WARM_ANSWERS);
  }

  /** Starts it anew: it is cold, and what it had is lost. */
  restart(startId: string): void {
    [...this.running, ...this.waiting].forEach((execution) => {
      this.end(execution, { evidence: 'failed', status: undefined, loadHeader: undefined });
    });
    this.known = { ...this.known, startId, state: 'cold' };
    this.coldAnswers = 0;
  }

  /** Counts a request that is on its way. */
  commit(isRemote: boolean): void {
    this.committed += 1;
    if (isRemote) this.remoteUnderWay += 1;
  }

  /** Takes note that a request from another region is there. */
  arriveFromRemote(): void {
    this.remoteUnderWay -= 1;
  }

  /** Takes back the count of a request that does not arrive. */
  release(): void {
    this.committed -= 1;
    this.onFree?.();
  }

  /**
   * Takes a request that was committed before.
   *
   * @param workMs - how long it takes on a quick target
   * @param onDone - told how it ended, unless it is cancelled
   * @returns the execution, to cancel it
   */
  take(workMs: number, onDone: (result: AttemptResult) => void): FakeExecution {
    const execution: FakeExecution = {
      workMs, onDone, startedAtMs: undefined, timer: undefined,
    };
    if (this.fault === 'fail-fast') {
      this.clock.after(FAIL_FAST_MS, () => this.end(execution, this.result('answered', 500)));
    } else if (this.waiting.length >= this.known.slots * QUEUE_PER_SLOT) {
      this.clock.after(0, () => this.end(execution, this.result('refused', 503)));
    } else {
      this.waiting.push(execution);
      const count = this.running.size + this.waiting.length;
      this.overBearing = Math.max(this.overBearing, count - this.bearing);
      this.startWaiting();
    }
    return execution;
  }

  /**
   * Cancels a request and frees its slot.
   *
   * @param execution - the request
   * @returns slot time that was spent on it, in milliseconds
   */
  cancel(execution: FakeExecution): number {
    if (!this.running.has(execution) && !this.waiting.includes(execution)) return 0;
    const spentMs = this.remove(execution);
    this.startWaiting();
    return spentMs;
  }

  private get coldFactor(): number {
    if (this.coldAnswers >= WARM_ANSWERS) return 1;
    return COLD_FACTOR - (COLD_FACTOR - 1) * (this.coldAnswers / WARM_ANSWERS);
  }

  private startWaiting(): void {
    while (this.running.size < this.known.slots && this.waiting.length > 0) {
      this.start(this.waiting.shift() as FakeExecution);
    }
  }

  private start(execution: FakeExecution): void {
    const { nowMs } = this.clock;
    const doneMs = this.noise.finishAt(nowMs, execution.workMs * this.coldFactor);
    Object.assign(execution, {
      startedAtMs: nowMs,
      timer: this.clock.after(doneMs - nowMs, () => this.end(execution, undefined)),
    });
    this.running.add(execution);
  }

  private end(execution: FakeExecution, result: AttemptResult | undefined): void {
    this.remove(execution);
    if (result === undefined) this.coldAnswers += 1;
    this.startWaiting();
    execution.onDone(result ?? this.result('answered', 200));
  }

  private remove(execution: FakeExecution): number {
    const { timer } = execution;
    if (timer !== undefined) timer.action = undefined;
    this.running.delete(execution);
    if (execution.startedAtMs === undefined) {
      this.waiting = this.waiting.filter((other) => other !== execution);
    }
    const spentMs = this.clock.nowMs - (execution.startedAtMs ?? this.clock.nowMs);
    this.busyMs += spentMs;
    this.release();
    return spentMs;
  }

  private result(evidence: AttemptResult['evidence'], status: number): AttemptResult {
    return { evidence, status, loadHeader: `in-flight=${this.reportedLoad()}` };
  }

  private reportedLoad(): number {
    const inFlight = this.running.size + this.waiting.length;
    if (this.fault === 'lying-report') return 0;
    if (this.fault !== 'lagging-report') return inFlight;
    if (this.clock.nowMs - this.laggingAtMs > REPORT_LAG_MS) {
      this.laggingReport = inFlight;
      this.laggingAtMs = this.clock.nowMs;
    }
    return this.laggingReport;
  }
}
