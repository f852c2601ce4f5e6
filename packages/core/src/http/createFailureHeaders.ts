import errorTable from '../errors/errorTable';
import type Failure from '../errors/Failure';
import type FailureHeaders from './FailureHeaders';

/**
 * Creates the headers of an error response, which let clients handle the failure without parsing
 * the body.
 *
 * @param failure - the failure to report
 * @returns the response headers
 */
export default function createFailureHeaders(failure: Failure): FailureHeaders {
  return {
    'content-type': 'application/json',
    'guavayard-error': failure.kind,
    'guavayard-outcome': errorTable[failure.kind].outcome,
  };
}
