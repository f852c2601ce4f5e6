import type { Socket } from 'node:net';

import type ParsedSocket from './ParsedSocket';

/**
 * Stops reading requests from a connection, also those that have arrived together with the present
 * one: their bytes are kept, and no objects are created for them.
 *
 * @param socket - a connection of an HTTP server
 */
export default function pauseParser(socket: Socket): void {
  const parsed = socket as ParsedSocket;
  // eslint-disable-next-line no-underscore-dangle -- the server checks it before it reads on
  parsed._paused = true;
  parsed.parser?.pause();
  socket.pause();
}
