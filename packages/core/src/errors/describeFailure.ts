import errorTable from './errorTable';
import type Failure from './Failure';

/**
 * Describes a failure in one line for people.
 *
 * @param failure - the failure
 * @returns the text of its kind, followed by the detail if there is one
 */
export default function describeFailure(failure: Failure): string {
  const { text } = errorTable[failure.kind];
  return failure.detail === '' ? text : `${text}: ${failure.detail}`;
}
