import { Err } from 'ts-results';

import type ErrorKind from './ErrorKind';
import type Failure from './Failure';

/**
 * Creates an error result of the given kind. Every failure of a request is created by this
 * function.
 *
 * @param kind - key in the error table
 * @param detail - human-readable details, appended to the text of the kind
 * @returns an `Err` that contains the failure
 */
export default function fail(kind: ErrorKind, detail = ''): Err<Failure> {
  return Err({ kind, detail });
}
