import type ErrorKind from './ErrorKind';
import type RequestOutcome from './RequestOutcome';

/** JSON body of an error response. */
interface FailureBody {
  readonly error: ErrorKind;
  readonly code: number;
  readonly outcome: RequestOutcome;
  readonly retryable: boolean;
  readonly message: string;
}

export default FailureBody;
