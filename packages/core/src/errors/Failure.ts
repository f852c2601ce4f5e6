import type ErrorKind from './ErrorKind';

/** A failure: its kind in the error table and the details of this occurrence. */
interface Failure {
  readonly kind: ErrorKind;
  readonly detail: string;
}

export default Failure;
