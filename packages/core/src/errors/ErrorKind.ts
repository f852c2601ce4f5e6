import type errorTable from './errorTable';

/** Key of an error in the error table. */
type ErrorKind = keyof typeof errorTable;

export default ErrorKind;
