import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';

const REQUEST_ID_HEADER = 'guavayard-request-id';
const VALID_REQUEST_ID = /^[A-Za-z0-9._-]{1,64}$/;

function replaceHeader(rawHeaders: string[], value: string): void {
  const index = rawHeaders.findIndex((name, position) => (
    position % 2 === 0 && name.toLowerCase() === REQUEST_ID_HEADER
  ));
  if (index < 0) rawHeaders.push(REQUEST_ID_HEADER, value);
  else rawHeaders.splice(index + 1, 1, value);
}

/**
 * Assigns an id to a request: the caller's own if it is well-formed, otherwise a new one. The id is
 * forwarded to the target in the request headers and returned to the caller.
 *
 * @param req - the caller's request
 * @param res - the caller's response
 * @returns the id of the request
 */
export default function assignRequestId(req: IncomingMessage, res: ServerResponse): string {
  const given = req.headers[REQUEST_ID_HEADER];
  const isValid = typeof given === 'string' && VALID_REQUEST_ID.test(given);
  const id = isValid ? given : randomUUID();
  if (!isValid) replaceHeader(req.rawHeaders, id);
  res.setHeader(REQUEST_ID_HEADER, id);
  return id;
}
