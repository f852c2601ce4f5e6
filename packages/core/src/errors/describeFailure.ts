import errorTable from './errorTable';
import type Failure from './Failure';

/**
 * Formats a failure as a human-readable line.
 *
 * @param failure - the failure to describe
 * @returns the text of its kind, followed by its detail if there is one
 */
export default function describeFailure(failure: Failure): string {
  const { text } = errorTable[failure.kind];
  return failure.detail === '' ? text : `${text}: ${failure.detail}`;
}
