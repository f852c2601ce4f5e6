import type { Socket } from 'node:net';

/**
 * Destroys a connection unless it closes before.
 *
 * @param socket - the connection
 * @param delayMs - time to wait, in milliseconds
 */
export default function destroyAfter(socket: Socket, delayMs: number): void {
  const timer = setTimeout(() => socket.destroy(), delayMs);
  socket.once('close', () => clearTimeout(timer));
}
