import ReplayableBody from '@guavayard/caller/ReplayableBody';
import type CallerReply from '@guavayard/core/dispatch/CallerReply';
import type Failure from '@guavayard/core/errors/Failure';
import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';
import recordOutcome from '@guavayard/core/placement/recordOutcome';

import type Attempt from './Attempt';
import AttemptRunner from './AttemptRunner';
import BodySizeCheck from './BodySizeCheck';
import classifyAttempt from './classifyAttempt';
import type ExchangeDependencies from './ExchangeDependencies';
import type GatewayRequest from './GatewayRequest';
import isNotRunStatus from './isNotRunStatus';
import OutcomeRecorder from './OutcomeRecorder';
import RelayHandover from './RelayHandover';
import ResponseForwarder from './ResponseForwarder';
import ResponseSender from './ResponseSender';
import RetryRules from './RetryRules';
import TargetSearch from './TargetSearch';

/** Retry delay for a caller whose deadline passed before its request was sent, in milliseconds. */
const RETRY_AFTER_MS = 250;
/** Times that a request is placed again because a connection ended before it was written. */
const MAX_UNSENT = 3;

/** Forwards one caller's request to targets until it has a response. */
export default class GatewayExchange {
  private readonly body: ReplayableBody;

  private readonly sizeCheck: BodySizeCheck;

  private readonly triedIds: string[];

  private readonly rules: RetryRules;

  private readonly search: TargetSearch;

  private readonly attempts: AttemptRunner;

  private readonly outcomes: OutcomeRecorder;

  private readonly handover: RelayHandover;

  private readonly forwarder: ResponseForwarder;

  private readonly response: ResponseSender;

  private timer: NodeJS.Timeout | undefined;

  private unsentCount = 0;

  constructor(
    private readonly dependencies: ExchangeDependencies,
    private readonly request: GatewayRequest,
    private readonly reply: CallerReply,
  ) {
    this.body = new ReplayableBody(request.req, true);
    this.sizeCheck = new BodySizeCheck(
      dependencies.clock,
      request,
      this.body,
      (failure) => this.refuseLargeBody(failure),
    );
    this.triedIds = [...request.triedIds];
    const { body, triedIds } = this;
    this.rules = new RetryRules(dependencies, request, body, triedIds);
    this.outcomes = new OutcomeRecorder(dependencies, request);
    this.forwarder = new ResponseForwarder({
      responseBytes: dependencies.responseBytes, method: request.method, reply,
    });
    const { forwarder, outcomes, rules } = this;
    this.attempts = new AttemptRunner({
      dependencies,
      request,
      body,
      forwarder,
      outcomes,
      rules,
      triedIds,
      onEnded: (attempt, failure) => this.finishAttempt(attempt, failure),
    });
    this.handover = new RelayHandover({
      dependencies, request, body, reply, triedIds,
    }, {
      onPlace: (retry) => this.search.start(retry),
      onMayHaveRun: () => {
        this.response.mayHaveRun = true;
        request.quota?.recordSent();
      },
      onFailed: (failure, retryAfterMs) => this.fail(failure, retryAfterMs),
      onAnswered: (decision, status) => {
        request.quota?.recordSent();
        this.response.finish(decision, status);
      },
    });
    const { handover, attempts: { hedges } } = this;
    this.search = new TargetSearch({
      dependencies, request, body, triedIds, handover,
    }, {
      onPlaced: (target, release) => this.send(target, release),
      onRefused: (failure, retryAfterMs) => this.fail(failure, retryAfterMs),
      onUnread: () => this.refuseUnread(),
    });
    this.response = new ResponseSender({
      dependencies,
      request,
      reply,
      forwarder,
      outcomes,
      handover,
      hedges,
      onEnd: () => this.stop(),
    });
  }

  /** Starts the exchange. The response is eventually finished or destroyed in all cases. */
  start(): void {
    const { clock, placement } = this.dependencies;
    this.timer = setTimeout(() => this.expire(), this.request.deadlineMs - clock());
    this.reply.onClose(() => this.handleCallerClose());
    this.reply.onDrain(() => {
      this.attempts.resume();
      this.handover.resume();
    });
    // The entry that relays a request has recorded it.
    if (this.request.relayedBy === undefined) placement.recordFirst(this.request.service);
    this.search.start();
  }

  /**
   * Responds at the end of a planned stop, before the connection ends with the process.
   *
   * @param retryAfterMs - delay before the caller may retry if nothing has run, in milliseconds
   */
  endWithProcess(retryAfterMs: number): void {
    this.giveUp({ kind: 'shuttingDown', detail: 'the process ends' }, retryAfterMs);
  }

  /** Refuses the request if it still waits for a target and its body cannot be read on. */
  private refuseUnread(): void {
    if (this.isSent) return;
    const failure: Failure = { kind: 'overloaded', detail: 'its body is too long to wait' };
    this.fail(failure, RETRY_AFTER_MS);
    this.handover.end(failure);
  }

  private send(target: PlacedTarget, release: Attempt['release']): void {
    const refusal = this.response.isEnded
      ? undefined : this.dependencies.keys.findRefusal(this.request);
    if (refusal !== undefined) this.fail(refusal, RETRY_AFTER_MS);
    if (this.response.isEnded || refusal !== undefined) {
      release();
      return;
    }
    this.search.recordRetrySent();
    this.attempts.run(target, release);
  }

  private finishAttempt(attempt: Attempt, failure: Failure | undefined): void {
    if (this.response.isEnded) {
      this.forwarder.release(attempt);
      attempt.release();
      return;
    }
    if (failure?.isUnsent === true && this.unsentCount < MAX_UNSENT && this.body.isReplayable) {
      this.placeAgain(attempt);
      return;
    }
    const verdict = classifyAttempt(attempt, failure);
    this.outcomes.record(attempt, verdict, failure);
    if (verdict === 'not-run') this.request.quota?.recordNotRun();
    else {
      this.response.mayHaveRun = true;
      this.recordVersion(attempt, verdict === 'answered');
    }
    const durationMs = this.dependencies.clock() - attempt.startedAtMs;
    if (verdict === 'answered' || attempt.isForwarding) {
      this.attempts.supersedeOthers(attempt);
      this.response.forward(attempt, failure);
    } else this.continueWithout(attempt, verdict);
    this.forwarder.release(attempt);
    attempt.release(verdict === 'answered' ? durationMs : undefined);
  }

  /** Goes on after an attempt without a good response: another one may be running. */
  private continueWithout(attempt: Attempt, verdict: NonNullable<Attempt['verdict']>): void {
    if (this.attempts.isRunning) this.attempts.awaitOther();
    else this.retryOrRespond(attempt, verdict);
  }

  private recordVersion({ target, startedAtMs, coldLeftMs }: Attempt, isAnswered: boolean): void {
    const { clock, pool } = this.dependencies;
    const { routeName } = this.request;
    const durationMs = isAnswered ? clock() - startedAtMs : undefined;
    pool.versions.recordOutcome({
      target, routeName, wasCold: coldLeftMs > 0, durationMs,
    });
  }

  /** Finds a target again for a request of which nothing was sent. */
  private placeAgain({ target, release }: Attempt): void {
    this.unsentCount += 1;
    this.request.quota?.recordNotRun();
    this.triedIds.splice(this.triedIds.lastIndexOf(target.record.id), 1);
    if (this.attempts.isRunning) {
      release();
      this.attempts.awaitOther();
      return;
    }
    this.body.close();
    release();
    this.search.start();
  }

  private retryOrRespond(attempt: Attempt, verdict: NonNullable<Attempt['verdict']>): void {
    if (this.rules.canRetry(verdict)) {
      // Further data from the caller is buffered for the next attempt.
      this.body.close();
      const retry = this.dependencies.placement.takeRetry(this.request.service);
      if (retry !== undefined) {
        this.search.start(retry);
        return;
      }
    }
    if (verdict === 'failed' && !isNotRunStatus(attempt.status ?? 0)) this.response.forward(attempt, undefined);
    else if (verdict === 'not-run') this.fail({ kind: 'overloaded', detail: 'the target did not run it' }, this.rules.estimateReturn());
    else this.fail({ kind: 'targetFailed', detail: verdict }, undefined);
  }

  private fail(failure: Failure, retryAfterMs: number | undefined): void {
    if (this.response.isEnded) return;
    if (!this.response.mayHaveRun && this.sizeCheck.mayReplace(failure)) {
      clearTimeout(this.timer);
      // The body is not kept from here on, so no target may get it.
      this.search.leave();
      this.timer = this.sizeCheck.awaitSize(() => this.response.refuse(failure, retryAfterMs));
      return;
    }
    this.response.refuse(failure, retryAfterMs);
  }

  private refuseLargeBody(failure: Failure): void {
    const isProven = !this.isSent && !this.response.mayHaveRun;
    this.fail({ ...failure, outcome: isProven ? 'not-run' : 'unknown' }, undefined);
    this.abort(failure);
  }

  private expire(): void {
    if (this.response.isEnded) return;
    const kind = this.isSent || this.response.mayHaveRun ? 'deadlineExceeded' : 'deadlineBeforeDispatch';
    // A hedge may have had little time.
    const { first } = this.attempts;
    if (first !== undefined) {
      recordOutcome(first.target, true, this.dependencies.clock());
      this.recordVersion(first, false);
    }
    this.giveUp({ kind, detail: '' }, RETRY_AFTER_MS);
  }

  /** Whether a target or another entry has the request now. */
  private get isSent(): boolean {
    return this.attempts.isRunning || this.handover.isSent;
  }

  /** Responds with a failure at once and ends what is under way. */
  private giveUp(failure: Failure, retryAfterMs: number): void {
    if (this.response.isEnded) return;
    this.response.mayHaveRun ||= this.isSent;
    this.response.refuse(failure, retryAfterMs);
    this.abort(failure);
  }

  private handleCallerClose(): void {
    if (this.response.isEnded) return;
    this.response.finish('caller gone', 0);
    this.abort({ kind: 'callerGone', detail: '' });
  }

  /** Aborts the attempts under way, here and at another entry. */
  private abort(reason: Failure): void {
    this.attempts.abort(reason);
    this.handover.end(reason);
  }

  /** Ends everything but the attempts under way. */
  private stop(): void {
    clearTimeout(this.timer);
    this.attempts.stop();
    this.request.quota?.end(this.response.mayHaveRun || this.handover.isSent);
    this.handover.end();
    this.search.end();
    this.body.discard();
  }
}
