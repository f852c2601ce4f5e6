import type AttemptResult from '@guavayard/core/scheduling/AttemptResult';
import type KnownTarget from '@guavayard/core/types/KnownTarget';

import type FakeExecution from './FakeExecution';
import type NoisePhases from './NoisePhases';
import type TargetFault from './TargetFault';
import type VirtualClock from './VirtualClock';

/** Queue limit per slot; the target sheds load when its queue is full. */
const QUEUE_LIMIT_PER_SLOT = 32;
const FAIL_FAST_MS = 0.2;
const REPORT_LAG_MS = 100;
/** Number of responses after which a cold target is warm. */
const WARM_RESPONSES = 60;
/** Factor on the service time of a target without any warm-up. */
const COLD_FACTOR = 4;

/** Simulated target with slots, a queue, slow phases, cold starts, load shedding and faults. */
export default class FakeTarget {
  /** Dispatched requests that are not done, including those still in transit. */
  outstanding = 0;

  /** Outstanding requests that are in transit from another region. */
  remoteInTransit = 0;

  /** Total time during which slots were busy, in milliseconds. */
  busyMs = 0;

  /** Largest number of requests by which the cold concurrency limit was exceeded. */
  maxColdExcess = 0;

  fault: TargetFault | undefined;

  /** Called when a request no longer counts as outstanding. */
  onFree: (() => void) | undefined;

  private readonly running = new Set<FakeExecution>();

  private waiting: FakeExecution[] = [];

  private coldResponses: number;

  private laggedInFlight = 0;

  private laggedAtMs = 0;

  constructor(
    public known: KnownTarget,
    readonly region: string,
    private readonly clock: VirtualClock,
    private readonly noise: NoisePhases,
  ) {
    this.coldResponses = known.state === 'cold' ? 0 : WARM_RESPONSES;
  }

  /** @returns the current factor on the service time */
  get slowFactor(): number {
    return this.noise.factorAt(this.clock.nowMs) * this.coldFactor;
  }

  /** @returns requests allowed at the same time during warm-up; `Infinity` once warm */
  get coldConcurrencyLimit(): number {
    if (this.coldResponses >= WARM_RESPONSES) return Infinity;
    return 1 + Math.floor((this.known.slots * this.coldResponses) / WARM_RESPONSES);
  }

  /** Restarts the target: it becomes cold, and its running and queued requests fail. */
  restart(startId: string): void {
    [...this.running, ...this.waiting].forEach((execution) => {
      this.end(execution, { evidence: 'failed', status: undefined, loadHeader: undefined });
    });
    this.known = { ...this.known, startId, state: 'cold' };
    this.coldResponses = 0;
  }

  /** Counts a request that an entry dispatches to this target. */
  commit(isRemote: boolean): void {
    this.outstanding += 1;
    if (isRemote) this.remoteInTransit += 1;
  }

  /** Records the arrival of a request from another region. */
  recordRemoteArrival(): void {
    this.remoteInTransit -= 1;
  }

  /** Stops counting a request as outstanding, when it is done or was never accepted. */
  release(): void {
    this.outstanding -= 1;
    this.onFree?.();
  }

  /**
   * Runs, queues or refuses a request that was counted by {@link FakeTarget.commit}.
   *
   * @param workMs - service time without slowdown, in milliseconds
   * @param onDone - called with the result, unless the request is cancelled
   * @returns the execution, which can be cancelled
   */
  take(workMs: number, onDone: (result: AttemptResult) => void): FakeExecution {
    const execution: FakeExecution = {
      workMs, onDone, startedAtMs: undefined, timer: undefined,
    };
    if (this.fault === 'fail-fast') {
      this.clock.after(FAIL_FAST_MS, () => this.end(execution, this.createResult('answered', 500)));
    } else if (this.waiting.length >= this.known.slots * QUEUE_LIMIT_PER_SLOT) {
      this.clock.after(0, () => this.end(execution, this.createResult('refused', 503)));
    } else {
      this.waiting.push(execution);
      const count = this.running.size + this.waiting.length;
      this.maxColdExcess = Math.max(this.maxColdExcess, count - this.coldConcurrencyLimit);
      this.startWaiting();
    }
    return execution;
  }

  /**
   * Cancels a request and frees its slot.
   *
   * @param execution - the execution of the request
   * @returns slot time spent on the request, in milliseconds; 0 if it had already ended
   */
  cancel(execution: FakeExecution): number {
    if (!this.running.has(execution) && !this.waiting.includes(execution)) return 0;
    const spentMs = this.remove(execution);
    this.startWaiting();
    return spentMs;
  }

  private get coldFactor(): number {
    if (this.coldResponses >= WARM_RESPONSES) return 1;
    return COLD_FACTOR - (COLD_FACTOR - 1) * (this.coldResponses / WARM_RESPONSES);
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
    if (result === undefined) this.coldResponses += 1;
    this.startWaiting();
    execution.onDone(result ?? this.createResult('answered', 200));
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

  private createResult(evidence: AttemptResult['evidence'], status: number): AttemptResult {
    return { evidence, status, loadHeader: `in-flight=${this.reportedLoad()}` };
  }

  private reportedLoad(): number {
    const inFlight = this.running.size + this.waiting.length;
    if (this.fault === 'lying-report') return 0;
    if (this.fault !== 'lagging-report') return inFlight;
    if (this.clock.nowMs - this.laggedAtMs > REPORT_LAG_MS) {
      this.laggedInFlight = inFlight;
      this.laggedAtMs = this.clock.nowMs;
    }
    return this.laggedInFlight;
  }
}
