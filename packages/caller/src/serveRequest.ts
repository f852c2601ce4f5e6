import type { ServerResponse } from 'node:http';

import type CallerRequest from './CallerRequest';
import createKeyClaim from './createKeyClaim';
import type EntryServices from './EntryServices';
import Exchange from './Exchange';
import HomeRelayExchange from './HomeRelayExchange';
import ReplayableBody from './ReplayableBody';
import sendFailure from './sendFailure';
import sendStoredResponse from './sendStoredResponse';

const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
const VALID_IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,256}$/;

function isAtHome({ relay }: EntryServices, { match }: CallerRequest): boolean {
  return match.homeRegions?.includes(relay.region) ?? true;
}

function relayToHomeRegion(
  entry: EntryServices,
  request: CallerRequest,
  res: ServerResponse,
): void {
  // Relay a request at most once, because entries may temporarily disagree about its home regions.
  const isRelayed = request.relayReason !== undefined;
  const entries = isRelayed ? [] : entry.relay.findEntries(request.match.homeRegions ?? []);
  new HomeRelayExchange(entry, request, res, [...entries]).start();
}

function serveWithIdempotencyKey(
  entry: EntryServices,
  request: CallerRequest,
  res: ServerResponse,
): void {
  const body = new ReplayableBody(request.req, true);
  body.readPrefix((prefix) => {
    const claim = createKeyClaim(request, prefix);
    const report = entry.keys.claim(claim, (decision) => {
      if (decision.ok && decision.val === undefined) {
        new Exchange(entry, request, res, body, (outcome) => report(outcome)).start();
        return;
      }
      if (decision.err) sendFailure(res, decision.val);
      else if (decision.val !== undefined) sendStoredResponse(res, decision.val);
      body.discard();
    });
  });
}

/**
 * Serves a request that has matched a route.
 *
 * @param entry - components of the entry
 * @param request - the caller's request
 * @param res - the caller's response; eventually finished or destroyed in every case
 */
export default function serveRequest(
  entry: EntryServices,
  request: CallerRequest,
  res: ServerResponse,
): void {
  if (!isAtHome(entry, request)) {
    relayToHomeRegion(entry, request, res);
    return;
  }
  const key = request.req.headers[IDEMPOTENCY_KEY_HEADER]?.toString();
  // The entry that relayed a request to the owner of its target has already claimed the key.
  if (key === undefined || request.isIdempotent || request.relayReason === 'owner') {
    new Exchange(entry, request, res, new ReplayableBody(request.req, true)).start();
    return;
  }
  if (VALID_IDEMPOTENCY_KEY.test(key)) {
    serveWithIdempotencyKey(entry, request, res);
    return;
  }
  const detail = 'idempotency-key: expected 1 to 256 printable characters';
  sendFailure(res, { kind: 'malformedRequest', detail });
  new ReplayableBody(request.req, false).discard();
}
