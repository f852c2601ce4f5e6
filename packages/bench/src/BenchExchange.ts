import type Admission from '@guavayard/core/scheduling/Admission';
import type Assignment from '@guavayard/core/scheduling/Assignment';
import type AttemptResult from '@guavayard/core/scheduling/AttemptResult';
import type ScheduledAttempt from '@guavayard/core/scheduling/ScheduledAttempt';

import type BenchEntry from './BenchEntry';
import type BenchRequest from './BenchRequest';
import type FakeExecution from './FakeExecution';
import type FakeTarget from './FakeTarget';
import type Fleet from './Fleet';
import type Measurements from './Measurements';
import type TimerHandle from './TimerHandle';
import type UsualDurations from './UsualDurations';

const MAX_RETRIES = 2;
const CANCELLED: AttemptResult = { evidence: 'cancelled', status: undefined, loadHeader: undefined };
const FIRST_ERROR_STATUS = 500;

interface Attempt {
  readonly assignment: Assignment;
  readonly target: FakeTarget;
  readonly latencyMs: number;
  execution: FakeExecution | undefined;
  isOver: boolean;
}

/** One request from its arrival to its response, with its retries and its hedge. */
export default class BenchExchange {
  private readonly attempts: Attempt[] = [];

  private scheduled: ScheduledAttempt[] = [];

  private readonly triedTargetIds: string[] = [];

  private hedgeTimer: TimerHandle | undefined;

  private readonly deadlineTimer: TimerHandle;

  private retries = 0;

  private firstSentAtMs: number | undefined;

  private isOver = false;

  constructor(
    private readonly entry: BenchEntry,
    private readonly fleet: Fleet,
    private readonly hedging: UsualDurations,
    private readonly measurements: Measurements,
    private readonly req: BenchRequest,
  ) {
    const { clock } = fleet;
    this.deadlineTimer = clock.after(req.deadlineMs - clock.nowMs, () => this.end('late'));
    this.schedule('first');
  }

  private schedule(purpose: Admission['purpose']): void {
    const { serviceName, isIdempotent, deadlineMs } = this.req;
    const attempt = this.entry.policy.scheduler.schedule({
      match: {
        routeName: serviceName,
        serviceName,
        service: { timeoutMs: 1 },
        homeRegions: undefined,
      },
      deadlineMs,
      isIdempotent,
      purpose,
      triedTargetIds: [...this.triedTargetIds],
    }, (decision) => {
      if (decision.ok) this.send(decision.val, purpose);
      else if (purpose === 'retry') this.end('failed');
      else if (purpose === 'first') this.end('refused');
    });
    this.scheduled.push(attempt);
  }

  private send(assignment: Assignment, purpose: Admission['purpose']): void {
    const { relayTo } = assignment;
    if (relayTo !== undefined) {
      assignment.finish(CANCELLED);
      this.isOver = true;
      this.deadlineTimer.action = undefined;
      this.entry.relay?.(relayTo, this.req);
      return;
    }
    const { clock } = this.fleet;
    const target = this.fleet.find(assignment.target.id);
    const latencyMs = this.fleet.latencyMs(this.entry.location, target);
    const attempt: Attempt = {
      assignment, target, latencyMs, execution: undefined, isOver: false,
    };
    this.attempts.push(attempt);
    this.triedTargetIds.push(assignment.target.id);
    this.firstSentAtMs ??= clock.nowMs;
    this.entry.onDispatch?.(target);
    const isRemote = target.region !== this.entry.location.region;
    if (isRemote) this.measurements.remote += 1;
    if (purpose === 'hedge') this.measurements.hedges += 1;
    target.commit(isRemote);
    clock.after(latencyMs, () => this.arrive(attempt, purpose));
    if (purpose === 'first' && this.req.isIdempotent && this.entry.policy.hedges) {
      const { serviceName, deadlineMs, arrivedAtMs } = this.req;
      const delayMs = this.hedging.hedgeDelayMs(serviceName, deadlineMs - arrivedAtMs);
      this.hedgeTimer = clock.after(delayMs, () => {
        if (!this.isOver) this.schedule('hedge');
      });
    }
  }

  private arrive(attempt: Attempt, purpose: Admission['purpose']): void {
    const { target, latencyMs } = attempt;
    if (target.region !== this.entry.location.region) target.recordRemoteArrival();
    if (attempt.isOver) {
      target.release();
      return;
    }
    const { startId } = attempt.assignment.target;
    const workMs = this.req.workMs[purpose === 'first' ? 0 : 1];
    if (target.known.startId !== startId) target.release();
    else {
      const startedMs = this.fleet.clock.nowMs;
      Object.assign(attempt, {
        execution: target.take(workMs, (result) => {
          if (attempt.isOver) this.measurements.wastedMs += this.fleet.clock.nowMs - startedMs;
          this.fleet.clock.after(latencyMs, () => this.receive(attempt, result));
        }),
      });
      return;
    }
    this.fleet.clock.after(latencyMs, () => this.receive(attempt, {
      evidence: 'refused', status: undefined, loadHeader: undefined,
    }));
  }

  private receive(attempt: Attempt, result: AttemptResult): void {
    if (attempt.isOver) return;
    Object.assign(attempt, { isOver: true });
    attempt.assignment.finish(result);
    if (this.isOver) return;
    if (result.evidence === 'answered' && (result.status ?? 0) < FIRST_ERROR_STATUS) {
      this.end('answered');
    } else if (this.attempts.some((other) => !other.isOver)) {
      // The other attempt of a hedged request may still respond.
    } else if (this.mayRetry(result)) {
      this.retries += 1;
      this.measurements.retries += 1;
      this.schedule('retry');
    } else {
      this.end('failed');
    }
  }

  private mayRetry(result: AttemptResult): boolean {
    return this.retries < MAX_RETRIES && (this.req.isIdempotent || result.evidence === 'refused');
  }

  private end(how: 'answered' | 'refused' | 'late' | 'failed'): void {
    if (this.isOver) return;
    const { clock } = this.fleet;
    this.isOver = true;
    this.deadlineTimer.action = undefined;
    if (this.hedgeTimer !== undefined) this.hedgeTimer.action = undefined;
    this.scheduled.forEach((attempt) => attempt.cancel());
    this.scheduled = [];
    if (how === 'answered') {
      this.measurements.record(clock.nowMs - this.req.arrivedAtMs);
      this.hedging.record(this.req.serviceName, clock.nowMs - (this.firstSentAtMs ?? clock.nowMs));
    } else {
      this.measurements.record(this.req.deadlineMs - this.req.arrivedAtMs);
      this.measurements[how] += 1;
    }
    this.attempts.filter((attempt) => !attempt.isOver).forEach((attempt) => this.cancel(attempt));
  }

  private cancel(attempt: Attempt): void {
    Object.assign(attempt, { isOver: true });
    attempt.assignment.finish(CANCELLED);
    this.fleet.clock.after(attempt.latencyMs, () => {
      if (attempt.execution === undefined) return;
      this.measurements.wastedMs += attempt.target.cancel(attempt.execution);
    });
  }
}
