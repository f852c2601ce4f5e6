import type { Socket } from 'node:net';

import createFailureBody from '@guavayard/core/errors/createFailureBody';
import errorTable from '@guavayard/core/errors/errorTable';
import type ErrorKind from '@guavayard/core/errors/ErrorKind';
import createFailureHeaders from '@guavayard/core/http/createFailureHeaders';

import closeGracefully from './closeGracefully';

const ERROR_KINDS: Readonly<Record<string, ErrorKind>> = {
  HPE_HEADER_OVERFLOW: 'headersTooLarge',
  ERR_HTTP_REQUEST_TIMEOUT: 'headersTooSlow',
};

/**
 * Responds to bytes that are not a valid request. If a request on the connection is still being
 * served, the connection is destroyed instead: that request may have run, and the caller would
 * mistake the error for its response.
 *
 * @param err - error raised by the HTTP parser
 * @param socket - the caller's connection
 * @param isServing - whether a request on the connection is being served
 */
export default function respondToBadRequest(
  err: NodeJS.ErrnoException,
  socket: Socket,
  isServing: boolean,
): void {
  if (isServing || !socket.writable) {
    socket.destroy();
    return;
  }
  const failure = { kind: ERROR_KINDS[err.code ?? ''] ?? 'malformedRequest', detail: '' };
  const body = JSON.stringify(createFailureBody(failure));
  const headers = {
    ...createFailureHeaders(failure), 'content-length': Buffer.byteLength(body), connection: 'close',
  };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  socket.write([`HTTP/1.1 ${errorTable[failure.kind].status} Refused`, ...lines, '', body].join('\r\n'));
  closeGracefully(socket);
}
