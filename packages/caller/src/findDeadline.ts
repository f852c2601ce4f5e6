import { Ok, type Result } from 'ts-results';

import fail from '@guavayard/core/errors/fail';
import type Failure from '@guavayard/core/errors/Failure';

/**
 * Finds the deadline of a request. A caller may ask for less time than the service has.
 *
 * @param nowMs - monotonic clock, in milliseconds
 * @param timeoutMs - longest time that the service may take
 * @param header - value of the caller's `guavayard-deadline-ms`, if it sent one
 * @returns the deadline on the monotonic clock, or `malformedRequest`
 */
export default function findDeadline(
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
