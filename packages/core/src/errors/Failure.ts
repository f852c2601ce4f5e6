import type ErrorKind from './ErrorKind';
import type RequestOutcome from './RequestOutcome';

/** A failure: its kind in the error table and the details of this occurrence. */
interface Failure {
  readonly kind: ErrorKind;
  readonly detail: string;
  /** Outcome if it differs from that of the kind; such a failure is not sent to other VMs. */
  readonly outcome?: RequestOutcome;
  /** Whether the request was held back, and may be sent to the same target again. */
  readonly isUnsent?: boolean;
}

export default Failure;
