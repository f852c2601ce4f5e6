import { Err } from 'ts-results';

import type ErrorKind from './ErrorKind';
import type Failure from './Failure';

/**
 * Makes the error result of one kind. Every failure of a request is raised through here.
 *
 * @param kind - row of the error table
 * @param detail - what happened, for people; the text of the kind stands in front of it
 * @returns an `Err` holding the failure
 */
export default function fail(kind: ErrorKind, detail = ''): Err<Failure> {
  return Err({ kind, detail });
}
