import type { ServerResponse } from 'node:http';

import connectionLimits from '@guavayard/core/connections/connectionLimits';
import type AnswerHandler from '@guavayard/core/dispatch/AnswerHandler';
import type AnswerHeaders from '@guavayard/core/dispatch/AnswerHeaders';
import type Dispatch from '@guavayard/core/dispatch/Dispatch';
import errorTable from '@guavayard/core/errors/errorTable';
import type Failure from '@guavayard/core/errors/Failure';
import createExchange from '@guavayard/core/exchange/createExchange';
import type ExchangeEffect from '@guavayard/core/exchange/ExchangeEffect';
import type ExchangeEvent from '@guavayard/core/exchange/ExchangeEvent';
import type ExchangeState from '@guavayard/core/exchange/ExchangeState';
import failureProofs from '@guavayard/core/exchange/failureProofs';
import stepExchange from '@guavayard/core/exchange/stepExchange';
import createTargetHeaders from '@guavayard/core/http/createTargetHeaders';
import isFramedResponse from '@guavayard/core/http/isFramedResponse';
import isHoldableAnswer from '@guavayard/core/http/isHoldableAnswer';
import type KeyOutcome from '@guavayard/core/idempotency/KeyOutcome';
import type Assignment from '@guavayard/core/scheduling/Assignment';
import type AttemptResult from '@guavayard/core/scheduling/AttemptResult';
import type ScheduledAttempt from '@guavayard/core/scheduling/ScheduledAttempt';

import type SendAddress from '@guavayard/core/types/SendAddress';

import ResponseWriter from './ResponseWriter';
import type CallerRequest from './CallerRequest';
import checkDispatch from './checkDispatch';
import cutResponse from './cutResponse';
import type EntryServices from './EntryServices';
import getRequestRecord from './getRequestRecord';
import type ReplayableBody from './ReplayableBody';
import sendFailure from './sendFailure';

const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
const UNKNOWN_ADDRESS = '127.0.0.1:0';
const ATTEMPT_HEADER = 'guavayard-attempt';
const OUTCOME_HEADER = 'guavayard-outcome';
const LOAD_HEADER = 'guavayard-load';

/** Carries one caller's request from route to response, by applying the `stepExchange` effects. */
export default class Exchange implements AnswerHandler {
  private readonly state: ExchangeState;

  private readonly writer: ResponseWriter;

  private readonly triedTargetIds: string[] = [];

  private scheduleCount = 0;

  private attempt: ScheduledAttempt | undefined;

  private assignment: Assignment | undefined;

  private dispatch: Dispatch | undefined;

  private endDispatchCheck: (evidence: AttemptResult['evidence']) => void = () => undefined;

  private loadHeader: string | undefined;

  private deadline: NodeJS.Timeout | undefined;

  constructor(
    private readonly entry: EntryServices,
    private readonly request: CallerRequest,
    private readonly res: ServerResponse,
    private readonly body: ReplayableBody,
    private readonly onKeyOutcome?: (outcome: KeyOutcome) => void,
  ) {
    const { req, isIdempotent } = request;
    // A request with an attempt number belongs to a call chain in which the first entry retries.
    this.state = createExchange(isIdempotent, req.headers[ATTEMPT_HEADER] === undefined);
    this.writer = new ResponseWriter(res, onKeyOutcome !== undefined);
  }

  /** Starts the exchange. The response is eventually finished or destroyed in every case. */
  start(): void {
    const remainingMs = this.request.deadlineMs - this.entry.clock();
    this.deadline = setTimeout(() => this.handleDeadline(), remainingMs);
    this.res.on('drain', () => this.dispatch?.resume());
    this.res.once('close', () => this.handleCallerClose());
    this.applyEffect({ kind: 'schedule', purpose: 'first' });
  }

  onConnected(): void {
    this.step({ kind: 'connected' });
  }

  onHeaders(status: number, headers: AnswerHeaders): void {
    if (!isFramedResponse(this.request.method, status, headers)) {
      this.dispatch?.abort({ kind: 'unframedAnswer', detail: '' });
      return;
    }
    this.loadHeader = headers[LOAD_HEADER]?.toString();
    this.writer.begin(status, headers);
    const isMarkedNotRun = headers[OUTCOME_HEADER] === 'not-run';
    const mayHold = this.request.isIdempotent || isMarkedNotRun;
    const isHoldable = mayHold && isHoldableAnswer(headers);
    this.step({ kind: 'headers', isMarkedNotRun, isHoldable });
  }

  onData(chunk: Buffer): boolean {
    const isWritable = this.writer.write(chunk);
    this.step({ kind: 'data', bytes: chunk.length });
    return isWritable;
  }

  onEnd(): void {
    this.step({ kind: 'end', isBodyReplayable: this.body.isReplayable });
  }

  onFailure(failure: Failure): void {
    this.step({ kind: 'failed', failure, isBodyReplayable: this.body.isReplayable });
  }

  private step(event: ExchangeEvent): void {
    stepExchange(this.state, event).forEach((effect) => this.applyEffect(effect));
  }

  private applyEffect(effect: ExchangeEffect): void {
    if (effect.kind === 'schedule') this.schedule(effect.purpose);
    if (effect.kind === 'dispatch') this.send();
    if (effect.kind === 'cancel') this.cancel(effect.failure);
    if (effect.kind === 'finish') this.finish(effect.evidence);
    if (effect.kind === 'dropHeld') this.writer.discard();
    if (effect.kind === 'forward') this.writer.forward();
    if (effect.kind === 'complete') this.complete();
    if (effect.kind === 'refuse') this.rejectRequest(effect.failure);
    if (effect.kind === 'cut') this.abortResponse(effect.failure);
  }

  private schedule(purpose: 'first' | 'retry'): void {
    const { match, deadlineMs, isIdempotent } = this.request;
    this.scheduleCount += 1;
    // The body received from now on is buffered for the next attempt.
    if (purpose === 'retry') this.body.close();
    const scheduleNumber = this.scheduleCount;
    const attempt = this.entry.scheduler.schedule({
      match, deadlineMs, isIdempotent, purpose, triedTargetIds: this.triedTargetIds,
    }, (decision) => {
      if (decision.err) this.step({ kind: 'refused', failure: decision.val });
      else this.assign(decision.val);
    });
    // The decision may have been synchronous and have already triggered the next attempt.
    if (scheduleNumber === this.scheduleCount) this.attempt = attempt;
  }

  private assign(assignment: Assignment): void {
    this.assignment = assignment;
    // Check the configuration again, now that the last wait before the dispatch is over.
    const checked = checkDispatch(this.entry.configuration(), this.request, assignment.target);
    if (this.state.step === 'ended' || checked.err) {
      this.finish('cancelled');
      if (checked.err) this.step({ kind: 'refused', failure: checked.val });
      return;
    }
    this.triedTargetIds.push(assignment.target.id);
    if (assignment.relayTo === undefined) this.startDispatchCheck(assignment);
    this.step({ kind: 'assigned' });
  }

  private startDispatchCheck({ target }: Assignment): void {
    const { req, match, isIdempotent } = this.request;
    const record = getRequestRecord(this.res);
    record.targetDataCentre = target.dataCentre;
    this.endDispatchCheck = this.entry.dispatchCheck.begin({
      record,
      match,
      target,
      isIdempotent,
      idempotencyKey: req.headers[IDEMPOTENCY_KEY_HEADER]?.toString(),
    });
  }

  private send(): void {
    if (this.assignment === undefined) return;
    const { method, path } = this.request;
    const { attempts } = this.state;
    this.loadHeader = undefined;
    this.dispatch = undefined;
    const dispatch = this.entry.sender.send(this.findAddress(this.assignment), {
      method,
      path,
      headers: this.createHeaders(this.assignment),
      body: this.body.open(),
    }, this);
    // The dispatch may have failed synchronously and have already triggered the next attempt.
    if (attempts === this.state.attempts) this.dispatch = dispatch;
  }

  private findAddress({ target, relayTo }: Assignment): SendAddress {
    if (relayTo === undefined) return target;
    // An unknown owner maps to an address without a listener, which proves the attempt did not run.
    const address = this.entry.relay.addressOf(relayTo) ?? UNKNOWN_ADDRESS;
    return { address, connectionLimit: connectionLimits.maxPerEntry };
  }

  private createHeaders({ relayTo }: Assignment): string[] {
    const { rawHeaders } = this.request.req;
    const remainingMs = this.request.deadlineMs - this.entry.clock();
    const headers = createTargetHeaders(rawHeaders, remainingMs, this.state.attempts);
    if (relayTo === undefined) return headers;
    const { requestId } = getRequestRecord(this.res);
    return [...headers, 'guavayard-relay', this.entry.relay.sign('owner', requestId)];
  }

  private cancel(failure: Failure): void {
    this.attempt?.cancel();
    this.dispatch?.abort(failure);
    this.body.close();
  }

  private finish(evidence: AttemptResult['evidence']): void {
    const { assignment, loadHeader } = this;
    this.assignment = undefined;
    this.endDispatchCheck(evidence);
    this.endDispatchCheck = () => undefined;
    assignment?.finish({ evidence, status: this.writer.status, loadHeader });
  }

  private handleDeadline(): void {
    const isEnded = this.state.step === 'ended';
    this.step({ kind: 'deadline' });
    if (!isEnded) return;
    // The response is complete, but the caller is not reading it.
    getRequestRecord(this.res).failure = 'deadlineExceeded';
    cutResponse(this.res);
  }

  private handleCallerClose(): void {
    clearTimeout(this.deadline);
    if (this.state.step === 'ended') return;
    // A run with an idempotency key continues, so that a retry by the caller gets its response.
    const isRunning = this.assignment !== undefined && this.request.req.complete;
    if (this.onKeyOutcome !== undefined && isRunning) return;
    const isProvenNotRun = failureProofs[this.state.step].outcome === 'not-run';
    const isNotRun = isProvenNotRun && this.state.uncertainFailure === undefined;
    this.step({ kind: 'callerGone' });
    this.onKeyOutcome?.({ kind: isNotRun ? 'notRun' : 'unknown' });
    this.release();
  }

  private complete(): void {
    const { isMarkedNotRun } = this.state;
    this.onKeyOutcome?.(isMarkedNotRun ? { kind: 'notRun' } : { kind: 'done', answer: this.writer.storedResponse });
    this.writer.end();
    this.release();
  }

  private rejectRequest(failure: Failure): void {
    const isNotRun = errorTable[failure.kind].outcome === 'not-run';
    this.onKeyOutcome?.({ kind: isNotRun ? 'notRun' : 'unknown' });
    sendFailure(this.res, failure);
    this.release();
  }

  private abortResponse(failure: Failure): void {
    this.onKeyOutcome?.({ kind: 'unknown' });
    getRequestRecord(this.res).failure = failure.kind;
    cutResponse(this.res);
    this.release();
  }

  private release(): void {
    this.body.discard();
  }
}
