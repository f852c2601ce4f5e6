import { Ok, type Result } from 'ts-results';

import fail from '@guavayard/core/errors/fail';
import type Failure from '@guavayard/core/errors/Failure';

/**
 * Computes the deadline of a request. A caller may shorten the timeout of the service, but not
 * extend it.
 *
 * @param nowMs - monotonic clock, in milliseconds
 * @param timeoutMs - timeout of the service, in milliseconds
 * @param header - value of the caller's `guavayard-deadline-ms`, if it sent one
 * @returns the deadline on the monotonic clock in milliseconds, or `malformedRequest`
 */
export default function computeDeadline(
  nowMs: number,
  timeoutMs: number,
  header: string | undefined,
): Result<number, Failure> {
  if (header === undefined) return Ok(nowMs + timeoutMs);
  if (!/^\d{1,9}$/.test(header)) {
    return fail('malformedRequest', 'guavayard-deadline-ms: expected milliseconds');
  }
  return Ok(nowMs + Math.min(timeoutMs, Number(header)));
}
