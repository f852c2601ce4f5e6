import createFailureBody from '../errors/createFailureBody';
import errorTable from '../errors/errorTable';
import type Failure from '../errors/Failure';
import createFailureHeaders from './createFailureHeaders';

/**
 * Creates the error response to a request of a target or an operator.
 *
 * @param failure - the failure to report
 * @returns the response, with status, headers and JSON body
 */
export default function createFailureResponse(failure: Failure): Response {
  return new Response(JSON.stringify(createFailureBody(failure)), {
    status: errorTable[failure.kind].status,
    headers: { ...createFailureHeaders(failure) },
  });
}
