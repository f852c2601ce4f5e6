import type { IncomingMessage, ServerResponse } from 'node:http';

import { Ok, type Result } from 'ts-results';

import fail from '@guavayard/core/errors/fail';
import type Failure from '@guavayard/core/errors/Failure';
import isIdempotentMethod from '@guavayard/core/http/isIdempotentMethod';

import assignRequestId from './assignRequestId';
import type CallerHandler from './CallerHandler';
import type CallerRequest from './CallerRequest';
import checkFraming from './checkFraming';
import type EntryServices from './EntryServices';
import computeDeadline from './computeDeadline';
import matchRequest from './matchRequest';
import getRequestRecord from './getRequestRecord';
import ReplayableBody from './ReplayableBody';
import sendFailure from './sendFailure';
import serveRequest from './serveRequest';

const RELAY_HEADER = 'guavayard-relay';
const DEADLINE_HEADER = 'guavayard-deadline-ms';
/** Maximum size of a request body, in bytes. */
const MAX_BODY_BYTES = 1024 * 1024 * 1024;

/** Serves callers' requests: validates and routes each one, then starts its exchange. */
export default class RequestHandler implements CallerHandler {
  constructor(private readonly entry: EntryServices) {}

  /**
   * Serves a request. The response is eventually finished or destroyed in every case.
   *
   * @param req - the caller's request
   * @param res - the caller's response
   */
  handle(req: IncomingMessage, res: ServerResponse): void {
    const record = getRequestRecord(res);
    record.startedAtMs = this.entry.clock();
    record.requestId = assignRequestId(req, res);
    res.once('close', () => {
      this.entry.recorder.record(record, res.statusCode, res.writableFinished);
    });
    const request = this.accept(req, record.requestId);
    if (request.ok) {
      record.serviceName = request.val.match.serviceName;
      record.homeRegions = request.val.match.homeRegions;
      serveRequest(this.entry, request.val, res);
      return;
    }
    sendFailure(res, request.val);
    new ReplayableBody(req, false).discard();
  }

  private accept(req: IncomingMessage, requestId: string): Result<CallerRequest, Failure> {
    const framing = checkFraming(req, MAX_BODY_BYTES);
    if (framing.err) return framing;
    const current = this.entry.configuration();
    if (current === undefined) return fail('noConfiguration');
    const match = matchRequest(current.configuration, req);
    if (match.err) return match;
    const { timeoutMs } = match.val.service;
    const header = req.headers[DEADLINE_HEADER]?.toString();
    const deadlineMs = computeDeadline(this.entry.clock(), timeoutMs, header);
    if (deadlineMs.err) return deadlineMs;
    const method = req.method ?? 'GET';
    return Ok({
      req,
      method,
      path: req.url ?? '/',
      match: match.val,
      version: current.version,
      deadlineMs: deadlineMs.val,
      isIdempotent: isIdempotentMethod(method),
      relayReason: this.entry.relay.verify(req.headers[RELAY_HEADER]?.toString(), requestId),
    });
  }
}
