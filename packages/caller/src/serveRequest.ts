import type { ServerResponse } from 'node:http';

import type CallerRequest from './CallerRequest';
import createKeyClaim from './createKeyClaim';
import type EntryView from './EntryView';
import Exchange from './Exchange';
import HomeRelayExchange from './HomeRelayExchange';
import ReplayableBody from './ReplayableBody';
import sendFailure from './sendFailure';
import sendStoredAnswer from './sendStoredAnswer';

const KEY_HEADER = 'idempotency-key';
const VALID_KEY = /^[\x21-\x7e]{1,256}$/;

function isAtHome({ relay }: EntryView, { match }: CallerRequest): boolean {
  return match.homeRegions?.includes(relay.region) ?? true;
}

function relayHome(entry: EntryView, request: CallerRequest, res: ServerResponse): void {
  // A request that was handed on once is not handed on again: the entries may disagree for a
  // moment about its home.
  const isRelayed = request.relayReason !== undefined;
  const entries = isRelayed ? [] : entry.relay.findEntries(request.match.homeRegions ?? []);
  new HomeRelayExchange(entry, request, res, [...entries]).start();
}

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
  if (!isAtHome(entry, request)) {
    relayHome(entry, request, res);
    return;
  }
  const key = request.req.headers[KEY_HEADER]?.toString();
  // The entry that handed on a request for a target of its owner has claimed the key already.
  if (key === undefined || request.isIdempotent || request.relayReason === 'owner') {
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
