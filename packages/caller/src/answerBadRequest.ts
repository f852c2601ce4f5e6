import type { Socket } from 'node:net';

import createFailureBody from '@guavayard/core/errors/createFailureBody';
import errorTable from '@guavayard/core/errors/errorTable';
import type ErrorKind from '@guavayard/core/errors/ErrorKind';
import createFailureHeaders from '@guavayard/core/http/createFailureHeaders';

const KINDS: Readonly<Record<string, ErrorKind>> = {
  HPE_HEADER_OVERFLOW: 'headersTooLarge',
  ERR_HTTP_REQUEST_TIMEOUT: 'headersTooSlow',
};

/**
 * Answers bytes that are no request. Within a request that is being served the connection is
 * destroyed instead: that request may have run, and this would be taken for its answer.
 *
 * @param err - error of the HTTP parser
 * @param socket - the caller's connection
 * @param isServing - whether a request of the connection is being served
 */
export default function answerBadRequest(
  err: NodeJS.ErrnoException,
  socket: Socket,
  isServing: boolean,
): void {
  if (isServing || !socket.writable) {
    socket.destroy();
    return;
  }
  const failure = { kind: KINDS[err.code ?? ''] ?? 'malformedRequest', detail: '' };
  const body = JSON.stringify(createFailureBody(failure));
  const headers = {
    ...createFailureHeaders(failure), 'content-length': Buffer.byteLength(body), connection: 'close',
  };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  socket.end([`HTTP/1.1 ${errorTable[failure.kind].status} Refused`, ...lines, '', body].join('\r\n'));
}
