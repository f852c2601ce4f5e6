import type { Server } from 'node:http';
import type { Socket } from 'node:net';

import closeGracefully from './closeGracefully';

/**
 * Makes an HTTP server close connections without a reset after their last response.
 *
 * @param server - the server, before it accepts connections
 */
export default function avoidResets(server: Server): void {
  server.on('connection', (socket: Socket) => {
    // Called by the server after a response that ends the connection.
    Object.assign(socket, { destroySoon: () => closeGracefully(socket) });
  });
}
