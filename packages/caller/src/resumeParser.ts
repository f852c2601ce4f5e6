import type { Socket } from 'node:net';

import type ParsedSocket from './ParsedSocket';

/* eslint-disable no-underscore-dangle -- the server checks `_paused` before it reads on */

/**
 * Reads requests again from a connection that was paused, unless the client has responses to read.
 *
 * @param socket - a connection of an HTTP server
 */
export default function resumeParser(socket: Socket): void {
  const parsed = socket as ParsedSocket;
  if (parsed._paused !== true || socket.destroyed || socket.writableNeedDrain) return;
  parsed._paused = false;
  // Requests that were kept are handled at once, and may pause the connection again.
  socket.resume();
  parsed.parser?.resume();
}
