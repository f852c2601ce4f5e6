import errorTable from '../errors/errorTable';
import type Failure from '../errors/Failure';
import type FailureHeaders from './FailureHeaders';

/**
 * Makes the headers that tell a failure to programs.
 *
 * @param failure - the failure
 * @returns the headers of the answer
 */
export default function createFailureHeaders(failure: Failure): FailureHeaders {
  return {
    'content-type': 'application/json',
    'guavayard-error': failure.kind,
    'guavayard-outcome': errorTable[failure.kind].outcome,
  };
}
