import type { ServerResponse } from 'node:http';

import createFailureBody from '@guavayard/core/errors/createFailureBody';
import errorTable from '@guavayard/core/errors/errorTable';
import type Failure from '@guavayard/core/errors/Failure';
import createFailureHeaders from '@guavayard/core/http/createFailureHeaders';

import recordOf from './recordOf';

/**
 * Answers a caller with a failure. An answer that has begun is cut by closing the connection,
 * so that the caller cannot take it for complete.
 *
 * @param res - the caller's response
 * @param failure - the failure
 */
export default function sendFailure(res: ServerResponse, failure: Failure): void {
  recordOf(res).failure = failure.kind;
  if (res.headersSent) {
    res.destroy();
    return;
  }
  const body = JSON.stringify(createFailureBody(failure));
  res.writeHead(errorTable[failure.kind].status, {
    ...createFailureHeaders(failure),
    'content-length': Buffer.byteLength(body),
  });
  res.end(body);
}
