import type ErrorKind from '../errors/ErrorKind';
import type RequestOutcome from '../errors/RequestOutcome';

/** Headers of an error response. */
interface FailureHeaders {
  readonly 'content-type': 'application/json';
  readonly 'guavayard-error': ErrorKind;
  readonly 'guavayard-outcome': RequestOutcome;
}

export default FailureHeaders;
