import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Result } from 'ts-results';

import fail from '@guavayard/core/errors/fail';
import type Failure from '@guavayard/core/errors/Failure';
import forwardHeaders from '@guavayard/core/http/forwardHeaders';
import isIdempotentMethod from '@guavayard/core/http/isIdempotentMethod';
import matchRoute from '@guavayard/core/routing/matchRoute';
import type RouteMatch from '@guavayard/core/routing/RouteMatch';
import type Admission from '@guavayard/core/scheduling/Admission';
import type Assignment from '@guavayard/core/scheduling/Assignment';
import type AttemptResult from '@guavayard/core/scheduling/AttemptResult';

import AnswerForwarder from './AnswerForwarder';
import assignRequestId from './assignRequestId';
import createRequestBody from './createRequestBody';
import type EntryView from './EntryView';
import recordOf from './recordOf';
import sendFailure from './sendFailure';

const TENANT_HEADER = 'guavayard-tenant';
const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/** Serves one caller's request after the other: route, schedule, send, answer. */
export default class RequestHandler {
  constructor(private readonly entry: EntryView) {}

  /**
   * Serves a request. The response is always finished or destroyed in the end.
   *
   * @param req - the caller's request
   * @param res - the caller's response
   * @returns once the response is finished or destroyed
   */
  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const record = recordOf(res);
    record.startedAtMs = this.entry.clock();
    record.requestId = assignRequestId(req, res);
    return new Promise((resolve) => {
      res.once('close', () => {
        this.entry.recorder.record(record, res.statusCode, res.writableFinished);
        resolve();
      });
      const match = this.match(req);
      if (match.err) sendFailure(res, match.val);
      else this.schedule(req, res, match.val);
    });
  }

  private match(req: IncomingMessage): Result<RouteMatch, Failure> {
    const current = this.entry.configuration();
    if (current === undefined) return fail('noConfiguration');
    const tenant = req.headers[TENANT_HEADER] as string | undefined;
    return matchRoute(current.configuration, req.url ?? '/', tenant);
  }

  private schedule(req: IncomingMessage, res: ServerResponse, match: RouteMatch): void {
    const record = recordOf(res);
    record.serviceName = match.serviceName;
    record.homeRegions = match.homeRegions;
    const admission: Admission = {
      match,
      deadlineMs: this.entry.clock() + match.service.timeoutMs,
      isIdempotent: isIdempotentMethod(req.method ?? 'GET'),
      purpose: 'first',
      triedTargetIds: [],
    };
    const attempt = this.entry.scheduler.schedule(admission, (decision) => {
      if (decision.err) sendFailure(res, decision.val);
      else this.dispatch(req, res, admission, decision.val);
    });
    res.once('close', () => attempt.cancel());
  }

  private dispatch(
    req: IncomingMessage,
    res: ServerResponse,
    admission: Admission,
    assignment: Assignment,
  ): void {
    let deadline: NodeJS.Timeout | undefined;
    const endCheck = this.check(req, res, admission, assignment);
    const forwarder = new AnswerForwarder(res, (result) => {
      clearTimeout(deadline);
      endCheck(result.evidence);
      assignment.finish(result);
    });
    const dispatch = this.entry.sender.send(assignment.target, {
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers: forwardHeaders(req.rawHeaders),
      body: createRequestBody(req),
    }, forwarder);
    deadline = setTimeout(() => {
      dispatch.abort({ kind: 'deadlineExceeded', detail: '' });
    }, admission.deadlineMs - this.entry.clock());
    res.on('drain', () => dispatch.resume());
    res.once('close', () => dispatch.abort({ kind: 'callerGone', detail: '' }));
  }

  private check(
    req: IncomingMessage,
    res: ServerResponse,
    { match, isIdempotent }: Admission,
    { target }: Assignment,
  ): (evidence: AttemptResult['evidence']) => void {
    const record = recordOf(res);
    record.targetDataCentre = target.dataCentre;
    return this.entry.dispatchCheck.begin({
      record,
      match,
      target,
      isIdempotent,
      idempotencyKey: req.headers[IDEMPOTENCY_KEY_HEADER] as string | undefined,
    });
  }
}
