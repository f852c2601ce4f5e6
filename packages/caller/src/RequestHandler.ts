import type { IncomingMessage, ServerResponse } from 'node:http';

import { Ok, type Result } from 'ts-results';

import fail from '@guavayard/core/errors/fail';
import type Failure from '@guavayard/core/errors/Failure';
import forwardHeaders from '@guavayard/core/http/forwardHeaders';
import findCandidates from '@guavayard/core/routing/findCandidates';
import matchRoute from '@guavayard/core/routing/matchRoute';
import type Service from '@guavayard/core/types/Service';
import type TargetAnnouncement from '@guavayard/core/types/TargetAnnouncement';

import AnswerForwarder from './AnswerForwarder';
import createRequestBody from './createRequestBody';
import type EntryView from './EntryView';
import sendFailure from './sendFailure';

const TENANT_HEADER = 'guavayard-tenant';

interface Assignment {
  readonly target: TargetAnnouncement;
  readonly service: Service;
}

/** Serves one caller's request after the other: route, choice, dispatch, answer. */
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
    return new Promise((resolve) => {
      res.once('close', resolve);
      const assignment = this.assign(req);
      if (assignment.err) sendFailure(res, assignment.val);
      else this.dispatch(req, res, assignment.val);
    });
  }

  private assign(req: IncomingMessage): Result<Assignment, Failure> {
    const current = this.entry.configuration();
    if (current === undefined) return fail('noConfiguration');
    const { configuration } = current;
    const tenant = req.headers[TENANT_HEADER];
    const match = matchRoute(configuration, req.url ?? '/', tenant as string | undefined);
    if (match.err) return match;
    const targets = this.entry.targetsOf(match.val.serviceName);
    const candidates = findCandidates(configuration, targets, match.val, this.entry.locality);
    const chosen = this.entry.chooser.choose(candidates);
    if (chosen === undefined) return fail('noTarget', `service "${match.val.serviceName}"`);
    return Ok({ target: chosen.target, service: match.val.service });
  }

  private dispatch(req: IncomingMessage, res: ServerResponse, assignment: Assignment): void {
    const { target, service } = assignment;
    let deadline: NodeJS.Timeout | undefined;
    const forwarder = new AnswerForwarder(res, () => clearTimeout(deadline));
    const dispatch = this.entry.sender.send(target, {
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers: forwardHeaders(req.rawHeaders),
      body: createRequestBody(req),
    }, forwarder);
    deadline = setTimeout(() => {
      dispatch.abort({ kind: 'deadlineExceeded', detail: `${service.timeoutMs} ms` });
    }, service.timeoutMs);
    res.on('drain', () => dispatch.resume());
    res.once('close', () => dispatch.abort({ kind: 'callerGone', detail: '' }));
  }
}
