import createFailureBody from '../errors/createFailureBody';
import errorTable from '../errors/errorTable';
import type Failure from '../errors/Failure';
import createFailureHeaders from './createFailureHeaders';

/**
 * Makes the web response that tells a failure to a target or an operator.
 *
 * @param failure - the failure
 * @returns the response
 */
export default function createFailureResponse(failure: Failure): Response {
  return new Response(JSON.stringify(createFailureBody(failure)), {
    status: errorTable[failure.kind].status,
    headers: { ...createFailureHeaders(failure) },
  });
}
