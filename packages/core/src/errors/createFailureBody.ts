import describeFailure from './describeFailure';
import errorTable from './errorTable';
import type Failure from './Failure';
import type FailureBody from './FailureBody';

/**
 * Creates the body of an error response for callers, targets and operators.
 *
 * @param failure - the failure to report
 * @returns a plain object that is sent as JSON
 */
export default function createFailureBody(failure: Failure): FailureBody {
  const { code, outcome, retryable } = errorTable[failure.kind];
  return {
    error: failure.kind,
    code,
    outcome: failure.outcome ?? outcome,
    retryable,
    message: describeFailure(failure),
  };
}
