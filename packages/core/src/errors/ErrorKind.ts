import type errorTable from './errorTable';

/** Name of a row in the error table. */
type ErrorKind = keyof typeof errorTable;

export default ErrorKind;
