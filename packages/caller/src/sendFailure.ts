import type { ServerResponse } from 'node:http';

import createFailureBody from '@guavayard/core/errors/createFailureBody';
import errorTable from '@guavayard/core/errors/errorTable';
import type Failure from '@guavayard/core/errors/Failure';
import createFailureHeaders from '@guavayard/core/http/createFailureHeaders';

import cutResponse from './cutResponse';
import getRequestRecord from './getRequestRecord';
import runAfterReads from './runAfterReads';

/**
 * Sends a failure to the caller. If the response has already started, the connection is closed
 * instead, so that the caller cannot mistake it for a complete response.
 *
 * @param res - the caller's response
 * @param failure - the failure to report
 */
export default function sendFailure(res: ServerResponse, failure: Failure): void {
  getRequestRecord(res).failure = failure.kind;
  if (res.headersSent) {
    cutResponse(res);
    return;
  }
  const body = JSON.stringify(createFailureBody(failure));
  runAfterReads(res, () => {
    res.writeHead(errorTable[failure.kind].status, {
      ...createFailureHeaders(failure),
      'content-length': Buffer.byteLength(body),
    });
    res.end(body);
  });
}
