import describeFailure from './describeFailure';
import errorTable from './errorTable';
import type Failure from './Failure';
import type FailureBody from './FailureBody';

/**
 * Makes the body that tells a failure to callers, targets and operators.
 *
 * @param failure - the failure
 * @returns a plain value to be sent as JSON
 */
export default function createFailureBody(failure: Failure): FailureBody {
  const { code, outcome, retryable } = errorTable[failure.kind];
  return {
    error: failure.kind, code, outcome, retryable, message: describeFailure(failure),
  };
}
