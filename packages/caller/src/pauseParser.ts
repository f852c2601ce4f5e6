import type { Socket } from 'node:net';

import type ParsedSocket from './ParsedSocket';

/**
 * Stops reading from a connection behind the bytes that have arrived together with the present
 * request, as the HTTP server does for a client that does not read its responses.
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
