import type { IncomingMessage } from 'node:http';

import { Ok, type Result } from 'ts-results';

import fail from '@guavayard/core/errors/fail';
import type Failure from '@guavayard/core/errors/Failure';

/**
 * Rejects message framing that the HTTP parser accepts but a target might interpret differently,
 * and bodies that are too large.
 *
 * @param req - the caller's request
 * @param maxBodyBytes - maximum size of the body
 * @returns nothing, or the failure if the request is rejected
 */
export default function checkFraming(
  req: Pick<IncomingMessage, 'headers'>,
  maxBodyBytes: number,
): Result<undefined, Failure> {
  const coding = req.headers['transfer-encoding'];
  if (coding !== undefined && coding.toLowerCase() !== 'chunked') {
    return fail('malformedRequest', 'transfer-encoding: expected "chunked"');
  }
  if (Number(req.headers['content-length'] ?? 0) > maxBodyBytes) {
    return fail('bodyTooLarge', `at most ${maxBodyBytes} bytes`);
  }
  return Ok(undefined);
}
