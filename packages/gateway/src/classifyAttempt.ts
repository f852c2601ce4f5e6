import errorTable from '@guavayard/core/errors/errorTable';
import type Failure from '@guavayard/core/errors/Failure';

import type Attempt from './Attempt';

/**
 * Classifies an attempt that has ended.
 *
 * @param attempt - the attempt
 * @param failure - why the exchange failed; undefined if the response is complete
 * @returns the classification
 */
export default function classifyAttempt(
  attempt: Attempt,
  failure: Failure | undefined,
): NonNullable<Attempt['verdict']> {
  if (failure === undefined) return attempt.verdict ?? 'spoiled';
  if (attempt.isForwarding) return attempt.verdict ?? 'answered';
  // The status and headers prove it, even without a complete body.
  if (attempt.verdict === 'not-run') return 'not-run';
  const isNotRun = attempt.status === undefined && errorTable[failure.kind].outcome === 'not-run';
  return isNotRun ? 'not-run' : 'spoiled';
}
