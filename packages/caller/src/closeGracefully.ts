import type { Socket } from 'node:net';

import destroyAfter from './destroyAfter';

/** Time for a caller to close its side of a connection, in milliseconds. */
const CLOSE_TIMEOUT_MS = 5000;
/** Maximum that is read and discarded of a connection until then, in bytes. */
const MAX_DISCARDED_BYTES = 32 * 1024 * 1024;

/** Discards what arrives. A paused connection must read again before its parser is detached. */
function discard(socket: Socket): void {
  if (socket.isPaused()) {
    socket.once('resume', () => discard(socket));
    return;
  }
  // The parser of the server reads from the connection until another listener does.
  socket.removeAllListeners('data');
  const endBytes = socket.bytesRead + MAX_DISCARDED_BYTES;
  socket.on('data', () => {
    if (socket.bytesRead > endBytes) socket.destroy();
  });
}

/**
 * Closes a connection of the HTTP server without a reset: ends the sending side, then discards what
 * still arrives until the caller closes its side, too. Closing at once would reset the connection
 * if bytes are unread or arrive later, and the caller could lose the end of its last response.
 *
 * @param socket - the connection; nothing is read from it as a request any more
 */
export default function closeGracefully(socket: Socket): void {
  if (socket.destroyed || socket.writableEnded) return;
  discard(socket);
  socket.resume();
  destroyAfter(socket, CLOSE_TIMEOUT_MS);
  socket.end();
}
