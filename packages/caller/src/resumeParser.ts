import type { Socket } from 'node:net';

import type ParsedSocket from './ParsedSocket';

/* eslint-disable no-underscore-dangle -- the server checks `_paused` before it reads on */

/**
 * Reads again from a connection that was paused, unless the client has responses to read.
 *
 * @param socket - a connection of an HTTP server
 */
export default function resumeParser(socket: Socket): void {
  const parsed = socket as ParsedSocket;
  if (parsed._paused !== true || socket.destroyed || socket.writableNeedDrain) return;
  parsed._paused = false;
  parsed.parser?.resume();
  socket.resume();
}
