import errorTable from '@guavayard/core/errors/errorTable';
import type Failure from '@guavayard/core/errors/Failure';

import type Attempt from './Attempt';

/**
 * Tells what came of an attempt that has ended.
 *
 * @param attempt - the attempt
 * @param failure - why the exchange failed, undefined if the answer is whole
 * @returns the verdict
 */
export default function settleVerdict(
  attempt: Attempt,
  failure: Failure | undefined,
): NonNullable<Attempt['verdict']> {
  if (failure === undefined) return attempt.verdict ?? 'spoiled';
  if (attempt.isForwarding) return 'answered';
  // The head of the answer is proof enough.
  if (attempt.verdict === 'not-run') return 'not-run';
  const isNotRun = attempt.status === undefined && errorTable[failure.kind].outcome === 'not-run';
  return isNotRun ? 'not-run' : 'spoiled';
}
