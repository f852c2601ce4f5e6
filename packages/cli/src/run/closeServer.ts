import type { Server } from 'node:http';

/**
 * Stops a server from accepting and waits until its last request is answered.
 *
 * @param server - the server
 */
export default async function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
