import type ErrorKind from './ErrorKind';

/** One failure: its kind in the error table and the detail of this occurrence. */
interface Failure {
  readonly kind: ErrorKind;
  readonly detail: string;
}

export default Failure;
