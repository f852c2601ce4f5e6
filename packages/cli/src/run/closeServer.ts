import type { Server } from 'node:http';

/**
 * Stops a server from accepting connections and waits until its last request has finished.
 *
 * @param server - the server to close
 */
export default async function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
