import ReplayableBody from '@guavayard/caller/ReplayableBody';
import type AnswerHandler from '@guavayard/core/dispatch/AnswerHandler';
import type CallerReply from '@guavayard/core/dispatch/CallerReply';
import type Dispatch from '@guavayard/core/dispatch/Dispatch';
import errorTable from '@guavayard/core/errors/errorTable';
import type Failure from '@guavayard/core/errors/Failure';
import isFramedResponse from '@guavayard/core/http/isFramedResponse';
import hasFreeSlot from '@guavayard/core/placement/hasFreeSlot';
import isConfirmed from '@guavayard/core/placement/isConfirmed';
import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';
import recordOutcome from '@guavayard/core/placement/recordOutcome';
import recordRejection from '@guavayard/core/placement/recordRejection';
import type RetryGrant from '@guavayard/core/placement/RetryGrant';

import type ResponseMetadata from './ResponseMetadata';
import RelayHandover from './RelayHandover';
import ResponseForwarder from './ResponseForwarder';
import type Attempt from './Attempt';
import AttemptWatchdog from './AttemptWatchdog';
import BodySizeCheck from './BodySizeCheck';
import createAttempt from './createAttempt';
import describeAttempt from './describeAttempt';
import type GatewayRequest from './GatewayRequest';
import type ExchangeDependencies from './ExchangeDependencies';
import isRefusalStatus from './isRefusalStatus';
import isNotRunStatus from './isNotRunStatus';
import classifyResponse from './classifyResponse';
import type PlacementRequest from './PlacementRequest';
import classifyAttempt from './classifyAttempt';

/** Retry delay for a caller whose deadline passed before its request was sent, in milliseconds. */
const RETRY_AFTER_MS = 250;
/**
 * Retry delay for a caller whose request was refused by a target with a free slot, in milliseconds.
 * It is short because another entry selects another target, so there is nothing to wait for; random
 * jitter of up to the same length spreads the retries.
 */
const REJECTED_RETRY_AFTER_MS = 30;
/**
 * Longest wait of a request whose body cannot be read on, in milliseconds: the close of its caller
 * would not be noticed.
 */
const UNREAD_WAIT_MS = 400;
const CONNECTION_LIMIT = 16;
/** Times that a request is placed again because a connection ended before it was written. */
const MAX_UNSENT = 3;
/** Body length in bytes above which a request stays in its region while a target there is alive. */
const LARGE_BODY_BYTES = 16 * 1024;

/** Forwards one caller's request to targets until it has a response. */
export default class GatewayExchange {
  private readonly body: ReplayableBody;

  private readonly sizeCheck: BodySizeCheck;

  private readonly triedIds: string[];

  private readonly attemptLines: ReturnType<typeof describeAttempt>[] = [];

  private attempt: Attempt | undefined;

  private dispatch: Dispatch | undefined;

  /** A retry that was taken from the budget and has not been sent. */
  private retry: RetryGrant | undefined;

  private leaveQueue: (() => void) | undefined;

  private readonly handover: RelayHandover;

  private readonly forwarder: ResponseForwarder;

  private timer: NodeJS.Timeout | undefined;

  private unreadTimer: NodeJS.Timeout | undefined;

  private readonly watchdog: AttemptWatchdog;

  private isEnded = false;

  private unsentCount = 0;

  /** Whether an attempt may have run, so that the response must not state that none has. */
  private mayHaveRun = false;

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
    this.forwarder = new ResponseForwarder({
      responseBytes: dependencies.responseBytes, method: request.method, reply,
    });
    this.watchdog = new AttemptWatchdog(dependencies, request, {
      canMove: () => this.canMove(),
      onAbandoned: (attempt, detail) => this.abandon(attempt, detail),
    });
    const { body, triedIds } = this;
    this.handover = new RelayHandover({
      dependencies, request, body, reply, triedIds,
    }, {
      onPlace: (retry) => {
        this.retry = retry ?? this.retry;
        this.findTarget();
      },
      onMayHaveRun: () => {
        this.mayHaveRun = true;
      },
      onFailed: (failure, retryAfterMs) => this.fail(failure, retryAfterMs),
      onAnswered: (decision, status) => this.finish(decision, status),
    });
  }

  /** Starts the exchange. The response is eventually finished or destroyed in all cases. */
  start(): void {
    const { clock, placement } = this.dependencies;
    this.timer = setTimeout(() => this.expire(), this.request.deadlineMs - clock());
    this.reply.onClose(() => this.handleCallerClose());
    this.reply.onDrain(() => {
      this.dispatch?.resume();
      this.handover.resume();
    });
    // The entry that relays a request has recorded it.
    if (this.request.relayedBy === undefined) placement.recordFirst(this.request.service);
    this.findTarget();
  }

  /**
   * Responds at the end of a planned stop, before the connection ends with the process.
   *
   * @param retryAfterMs - delay before the caller may retry if nothing has run, in milliseconds
   */
  endWithProcess(retryAfterMs: number): void {
    this.giveUp({ kind: 'shuttingDown', detail: 'the process ends' }, retryAfterMs);
  }

  /** Finds a target for the next attempt, or another entry if no target can be reached. */
  private findTarget(): void {
    this.body.readAhead(this.dependencies.requestBytes, () => this.limitWait());
    if (this.handover.isAllowed && this.handover.isNeeded) {
      this.leaveQueue = undefined;
      this.startHandover();
      return;
    }
    const { attempt } = this;
    const leaveQueue = this.dependencies.placement.place(this.createPlacementRequest());
    // `place` may have assigned and sent the request synchronously.
    if (this.attempt === attempt) this.leaveQueue = leaveQueue;
  }

  /** Refuses the request if it still waits for a target after a time. */
  private limitWait(): void {
    clearTimeout(this.unreadTimer);
    this.unreadTimer = setTimeout(() => {
      if (this.isSent) return;
      const failure: Failure = { kind: 'overloaded', detail: 'its body is too long to wait' };
      this.fail(failure, RETRY_AFTER_MS);
      this.handover.end(failure);
    }, UNREAD_WAIT_MS);
  }

  private createPlacementRequest(): PlacementRequest {
    const { request } = this;
    const { route } = request;
    return {
      service: request.service,
      homeRegions: route.homeRegions,
      triedIds: this.triedIds,
      permittedIds: request.permittedIds,
      // What the target version has failed to serve, the others do.
      isCanary: request.isCanary && this.triedIds.length === request.triedIds.length,
      priority: route.priority,
      targetLatencyMs: route.targetLatencyMs,
      hasLargeBody: this.hasLargeBody,
      deadlineMs: request.deadlineMs,
      mayRelay: this.handover.isAllowed,
      onPlaced: (target, release) => this.send(target, release),
      onRefused: (failure, retryAfterMs) => {
        this.leaveQueue = undefined;
        if (failure.kind === 'targetsUnreachable' && this.handover.isAllowed) this.startHandover();
        else this.fail(failure, retryAfterMs);
      },
    };
  }

  private recordRetrySent(): void {
    this.retry?.recordSent(this.dependencies.clock());
    this.retry = undefined;
  }

  private startHandover(): void {
    this.recordRetrySent();
    this.handover.start();
  }

  private get hasLargeBody(): boolean {
    const { headers } = this.request.req;
    const isChunked = headers['transfer-encoding'] !== undefined;
    return isChunked || Number(headers['content-length'] ?? 0) > LARGE_BODY_BYTES;
  }

  private send(target: PlacedTarget, release: Attempt['release']): void {
    const { clock, dialect, sender } = this.dependencies;
    const { request } = this;
    this.leaveQueue = undefined;
    if (this.isEnded) {
      release();
      return;
    }
    const nowMs = clock();
    const isNewConnection = sender.countReady(target.record.address) === 0;
    const attempt = createAttempt(target, release, isNewConnection, nowMs);
    this.attempt = attempt;
    this.triedIds.push(target.record.id);
    this.recordRetrySent();
    const dispatch = sender.send(
      { address: target.record.address, connectionLimit: CONNECTION_LIMIT },
      {
        method: request.method,
        path: request.path,
        headers: dialect.createHeaders(request.req.rawHeaders, {
          remainingMs: Math.max(1, Math.floor(request.deadlineMs - nowMs)),
          targetId: target.record.id,
        }),
        body: this.body.open(),
        purpose: 'bound',
      },
      this.createHandler(attempt),
    );
    if (this.attempt !== attempt || attempt.isOver) return;
    this.dispatch = dispatch;
    this.watchdog.start(attempt);
  }

  private abandon(attempt: Attempt, detail: string): void {
    const state = attempt;
    state.isAborted = true;
    this.dispatch?.abort({ kind: 'targetFailed', detail });
  }

  /** Returns whether an attempt without a response can be replaced by one on another target. */
  private canMove(): boolean {
    const {
      clock, placement, pool, prober,
    } = this.dependencies;
    const { service, route: { homeRegions }, permittedIds } = this.request;
    if (!this.canRetry('spoiled') || !placement.mayRetry(service)) return false;
    const nowMs = clock();
    const free = pool.findEligible(service, homeRegions, this.triedIds, permittedIds)
      .filter((target) => isConfirmed(target) && hasFreeSlot(target, target.record.slots, nowMs));
    const canSend = free.some((target) => pool.paths.connections.maySend(target));
    if (!canSend) {
      prober.probe(free.slice(0, 1), () => {
        if (free.some((target) => pool.paths.connections.maySend(target))) {
          this.watchdog.checkAgain();
        }
      });
    }
    return canSend;
  }

  private createHandler(attempt: Attempt): AnswerHandler {
    const state = attempt;
    const { target } = attempt;
    return {
      onConnected: () => undefined,
      onHeaders: (status, headers) => {
        state.status = status;
        state.headers = headers;
        this.dependencies.pool.paths.recordAnswer(target);
        const metadata = this.dependencies.dialect.readResponse(headers);
        const isFramed = isFramedResponse(this.request.method, status, headers);
        // Without a length, a truncated response cannot be distinguished from a complete one.
        const verdict = classifyResponse(status, metadata, this.request.requestId);
        state.verdict = isFramed || verdict === 'not-run' ? verdict : 'spoiled';
        this.recordLoad(state, metadata);
        if (state.verdict !== 'spoiled') {
          this.dependencies.pool.paths.recordLoadReport(target, metadata.load !== undefined);
          this.dependencies.pool.limits.recordResponse(target, metadata.requestLimit, 'request');
          this.recordRest(state, status, metadata);
          this.dependencies.pool.notices.recordLeaving(target, metadata.isLeaving, 'request');
        }
        // Any further data on this connection may belong to another request.
        if (state.verdict === 'spoiled') {
          state.isAborted = true;
          this.dispatch?.abort({ kind: 'targetFailed', detail: isFramed ? 'not its answer' : 'no length' });
        }
      },
      onData: (chunk) => this.handleData(state, chunk),
      onEnd: () => this.finishAttempt(state, undefined),
      onFailure: (failure) => this.finishAttempt(state, failure),
    };
  }

  private recordRest({ target }: Attempt, status: number, { restMs }: ResponseMetadata): void {
    const { pool } = this.dependencies;
    if (!isRefusalStatus(status)) pool.notices.recordReturn(target);
    else if (restMs !== undefined) pool.notices.recordRest(target, restMs, 'request');
  }

  private recordLoad({ target, startedAtMs }: Attempt, { load }: ResponseMetadata): void {
    if (load === undefined) return;
    const state = target;
    const nowMs = this.dependencies.clock();
    if ((state.reading?.sentAtMs ?? -Infinity) > nowMs) return;
    // The target measured its load when it created the response, so after all earlier requests of
    // this entry.
    state.reading = { ...load, sentAtMs: Math.max(startedAtMs, nowMs - 1), atMs: nowMs };
  }

  private handleData(attempt: Attempt, chunk: Buffer): boolean {
    const state = attempt;
    const isWanted = this.forwarder.take(state, chunk, () => this.mayStream(state));
    if (isWanted === undefined) {
      state.isAborted = true;
      this.dispatch?.abort({ kind: 'targetFailed', detail: 'its response is too long' });
    }
    return isWanted ?? false;
  }

  /** Whether a response may be sent to the caller before it is complete. */
  private mayStream(attempt: Attempt): boolean {
    if (attempt.verdict === 'answered') return true;
    return attempt.verdict === 'failed' && !isNotRunStatus(attempt.status ?? 0)
      && !this.canRetry('failed');
  }

  private finishAttempt(attempt: Attempt, failure: Failure | undefined): void {
    const state = attempt;
    if (state.isOver) return;
    state.isOver = true;
    const { clock, log } = this.dependencies;
    const nowMs = clock();
    const verdict = classifyAttempt(state, failure);
    const hasFailed = verdict !== 'answered' && verdict !== 'not-run';
    if (this.isEnded) {
      this.forwarder.release(state);
      state.release();
      return;
    }
    if (failure?.isUnsent === true && this.unsentCount < MAX_UNSENT && this.body.isReplayable) {
      this.placeAgain(state);
      return;
    }
    const { pool } = this.dependencies;
    const isPathLost = pool.paths.connections.areRefused
      || pool.paths.reachability.isUnreachable(this.request.service);
    if (!isPathLost && recordOutcome(state.target, hasFailed, nowMs)) {
      log.logEvent({ target: state.target.record.id, forMs: state.target.ejectedUntilMs - nowMs }, 'target ejected');
    }
    recordRejection(state.target, verdict === 'not-run', nowMs);
    this.attemptLines.push(describeAttempt(state, verdict, failure, nowMs));
    if (verdict !== 'not-run') {
      this.mayHaveRun = true;
      this.recordVersion(state, verdict === 'answered');
    }
    this.reportToCrashDetection(state, verdict, failure);
    this.dispatch = undefined;
    if (verdict === 'answered' || state.isForwarding) this.forwardResponse(state, failure);
    else this.retryOrRespond(state, verdict);
    this.forwarder.release(state);
    state.release(verdict === 'answered' ? nowMs - state.startedAtMs : undefined);
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
    this.triedIds.splice(this.triedIds.lastIndexOf(target.record.id), 1);
    this.dispatch = undefined;
    this.body.close();
    release();
    this.findTarget();
  }

  /** Reports the end of an attempt to crash detection: a broken-off request may be a crash. */
  private reportToCrashDetection(
    attempt: Attempt,
    verdict: NonNullable<Attempt['verdict']>,
    failure: Failure | undefined,
  ): void {
    const { clock, crashes } = this.dependencies;
    const { fingerprint } = this.request;
    // A target that did not run the request gives no evidence either way.
    if (verdict === 'not-run') return;
    const isBroken = failure?.kind === 'targetFailed' && !attempt.isAborted;
    if (isBroken) {
      const { target, startedAtMs } = attempt;
      const run = {
        fingerprint, targetId: target.record.id, startedAtMs, brokenAtMs: clock(),
      };
      crashes.checkForCrash(run, target);
      return;
    }
    if (failure === undefined && verdict !== 'spoiled') crashes.recordResponse(fingerprint);
  }

  private canRetry(verdict: NonNullable<Attempt['verdict']>): boolean {
    const { route, deadlineMs, fingerprint } = this.request;
    const mayRetry = verdict === 'not-run' || route.isIdempotent;
    const hasTime = deadlineMs - this.dependencies.clock() > 1;
    const hasAttempts = this.triedIds.length < route.maxAttempts;
    const isAllowed = !this.dependencies.crashes.isQuarantined(fingerprint);
    return mayRetry && hasTime && hasAttempts && isAllowed && this.body.isReplayable;
  }

  private retryOrRespond(attempt: Attempt, verdict: NonNullable<Attempt['verdict']>): void {
    if (this.canRetry(verdict)) {
      // Further data from the caller is buffered for the next attempt.
      this.body.close();
      const retry = this.dependencies.placement.takeRetry(this.request.service);
      if (retry !== undefined) {
        this.retry = retry;
        this.findTarget();
        return;
      }
    }
    if (verdict === 'failed' && !isNotRunStatus(attempt.status ?? 0)) this.forwardResponse(attempt, undefined);
    else if (verdict === 'not-run') this.fail({ kind: 'overloaded', detail: 'the target did not run it' }, this.estimateReturn());
    else this.fail({ kind: 'targetFailed', detail: verdict }, undefined);
  }

  /** Returns when a caller may return whose request targets refused, in milliseconds. */
  private estimateReturn(): number {
    const { pool } = this.dependencies;
    const { service, route: { homeRegions } } = this.request;
    const soonMs = REJECTED_RETRY_AFTER_MS * (1 + Math.random());
    if (pool.findEligible(service, homeRegions, []).length > 0) return soonMs;
    return pool.estimateWaitMs(service, homeRegions, [], 0) ?? soonMs;
  }

  /** Forwards the target's response to the caller. */
  private forwardResponse(attempt: Attempt, failure: Failure | undefined): void {
    this.forwarder.complete(attempt, failure !== undefined);
    this.finish(attempt.verdict === 'answered' ? 'answered' : 'target failed', attempt.status ?? 0);
  }

  private fail(failure: Failure, retryAfterMs: number | undefined): void {
    if (this.isEnded) return;
    if (!this.mayHaveRun && this.sizeCheck.mayReplace(failure)) {
      clearTimeout(this.timer);
      // The body is not kept from here on, so no target may get it.
      this.leaveQueue?.();
      this.leaveQueue = undefined;
      this.timer = this.sizeCheck.awaitSize(() => this.refuse(failure, retryAfterMs));
      return;
    }
    this.refuse(failure, retryAfterMs);
  }

  private refuse(failure: Failure, retryAfterMs: number | undefined): void {
    if (this.isEnded) return;
    const isNotRun = (failure.outcome ?? errorTable[failure.kind].outcome) === 'not-run';
    const reported: Failure = isNotRun && this.mayHaveRun ? { kind: 'targetFailed', detail: failure.detail } : failure;
    const reportedRetryAfterMs = reported === failure ? retryAfterMs : undefined;
    const status = this.reply.refuse(reported, reportedRetryAfterMs);
    this.finish(reported.kind, status, reported.detail, reportedRetryAfterMs);
  }

  private refuseLargeBody(failure: Failure): void {
    const isProven = !this.isSent && !this.mayHaveRun;
    this.fail({ ...failure, outcome: isProven ? 'not-run' : 'unknown' }, undefined);
    this.dispatch?.abort(failure);
    this.handover.end(failure);
  }

  private expire(): void {
    if (this.isEnded) return;
    const { attempt, isSent } = this;
    const kind = isSent || this.mayHaveRun ? 'deadlineExceeded' : 'deadlineBeforeDispatch';
    if (attempt !== undefined && !attempt.isOver) {
      recordOutcome(attempt.target, true, this.dependencies.clock());
      this.recordVersion(attempt, false);
    }
    this.giveUp({ kind, detail: '' }, RETRY_AFTER_MS);
  }

  /** Whether a target or another entry has the request now. */
  private get isSent(): boolean {
    return (this.attempt !== undefined && !this.attempt.isOver) || this.handover.isSent;
  }

  /** Responds with a failure at once and ends what is under way. */
  private giveUp(failure: Failure, retryAfterMs: number): void {
    if (this.isEnded) return;
    this.mayHaveRun ||= this.isSent;
    this.refuse(failure, retryAfterMs);
    this.dispatch?.abort(failure);
    this.handover.end(failure);
  }

  private handleCallerClose(): void {
    if (this.isEnded) return;
    this.finish('caller gone', 0);
    this.dispatch?.abort({ kind: 'callerGone', detail: '' });
    this.handover.end({ kind: 'callerGone', detail: '' });
  }

  private finish(decision: string, status: number, detail?: string, retryAfterMs?: number): void {
    const { request } = this;
    this.isEnded = true;
    clearTimeout(this.timer);
    clearTimeout(this.unreadTimer);
    this.watchdog.stop();
    this.handover.end();
    this.leaveQueue?.();
    this.leaveQueue = undefined;
    // The entry that relays a request gives it to another one without a retry of its own.
    if (request.relayedBy !== undefined) this.recordRetrySent();
    this.retry?.release();
    this.body.discard();
    this.dependencies.log.write({
      requestId: request.requestId,
      route: request.routeName,
      service: request.service,
      version: request.version,
      attempts: this.attemptLines,
      ...(this.handover.line === undefined ? {} : { relay: this.handover.line }),
      ...(request.relayedBy === undefined ? {} : { relayedBy: request.relayedBy }),
      decision,
      ...(detail === undefined || detail === '' ? {} : { detail }),
      status,
      ...(retryAfterMs === undefined ? {} : { retryAfterMs: Math.round(retryAfterMs) }),
      ms: Math.round(this.dependencies.clock() - request.arrivedAtMs),
    });
  }
}
