import type { Socket } from 'node:net';

import destroyAfter from './destroyAfter';

/** Time for a caller to hear of the end of its connection, in milliseconds. */
const CLOSE_TIMEOUT_MS = 100;

/**
 * Closes a connection on which no response is due. A request that crosses the end stays unread: its
 * caller hears that the connection has ended, and may repeat any request that was not read.
 *
 * @param socket - the connection
 */
export default function closeIdle(socket: Socket): void {
  if (socket.destroyed || socket.writableEnded) return;
  socket.pause();
  // The time starts once the end has been sent: the process may not run before.
  socket.end(() => destroyAfter(socket, CLOSE_TIMEOUT_MS));
}
