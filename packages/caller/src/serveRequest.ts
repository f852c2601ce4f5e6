import type { ServerResponse } from 'node:http';

import type CallerRequest from './CallerRequest';
import createKeyClaim from './createKeyClaim';
import type EntryView from './EntryView';
import Exchange from './Exchange';
import ReplayableBody from './ReplayableBody';
import sendFailure from './sendFailure';
import sendStoredAnswer from './sendStoredAnswer';

const KEY_HEADER = 'idempotency-key';
const VALID_KEY = /^[\x21-\x7e]{1,256}$/;

function serveKeyed(entry: EntryView, request: CallerRequest, res: ServerResponse): void {
  const body = new ReplayableBody(request.req, true);
  body.readPrefix((prefix) => {
    const claim = createKeyClaim(request, prefix);
    const report = entry.keys.claim(claim, (decision) => {
      if (decision.ok && decision.val === undefined) {
        new Exchange(entry, request, res, body, (outcome) => report(outcome)).start();
        return;
      }
      if (decision.err) sendFailure(res, decision.val);
      else if (decision.val !== undefined) sendStoredAnswer(res, decision.val);
      body.discard();
    });
  });
}

/**
 * Serves a request that has a route.
 *
 * @param entry - the rest of the entry
 * @param request - the request
 * @param res - the caller's response; always finished or destroyed in the end
 */
export default function serveRequest(
  entry: EntryView,
  request: CallerRequest,
  res: ServerResponse,
): void {
  const key = request.req.headers[KEY_HEADER]?.toString();
  if (key === undefined || request.isIdempotent) {
    new Exchange(entry, request, res, new ReplayableBody(request.req, true)).start();
    return;
  }
  if (VALID_KEY.test(key)) {
    serveKeyed(entry, request, res);
    return;
  }
  const detail = 'idempotency-key: expected 1 to 256 printable characters';
  sendFailure(res, { kind: 'malformedRequest', detail });
  new ReplayableBody(request.req, false).discard();
}
