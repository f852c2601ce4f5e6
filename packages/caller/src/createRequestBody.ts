import type { IncomingMessage } from 'node:http';

import RequestBody from './RequestBody';

/**
 * Makes the body stream of a request that has a body.
 *
 * @param req - the caller's request
 * @returns the stream, or null for a request without a body
 */
export default function createRequestBody(req: IncomingMessage): RequestBody | null {
  const isChunked = req.headers['transfer-encoding'] !== undefined;
  const length = req.headers['content-length'];
  if (!isChunked && (length === undefined || length === '0')) return null;
  return new RequestBody(req);
}
