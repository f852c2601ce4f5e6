import type { IncomingMessage } from 'node:http';

import { Ok, type Result } from 'ts-results';

import fail from '@guavayard/core/errors/fail';
import type Failure from '@guavayard/core/errors/Failure';

/**
 * Checks what the HTTP parser lets through but could be read in two ways by a target.
 *
 * @param req - the caller's request
 * @param maxBodyBytes - longest body that is taken
 * @returns nothing, or why the request is not taken
 */
export default function checkFraming(
  req: IncomingMessage,
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
