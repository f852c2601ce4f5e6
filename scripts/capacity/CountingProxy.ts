import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

import splitHostPort from '@guavayard/core/utils/splitHostPort';

/** A TCP proxy on the loopback address that counts the bytes of both directions. */
export default class CountingProxy {
  bytes = 0;

  private readonly sockets = new Set<Socket>();

  private readonly server = createServer((client) => {
    const upstream = connect({ ...splitHostPort(this.target) });
    this.forward(client, upstream);
    this.forward(upstream, client);
  });

  /**
   * @param target - address to forward connections to
   */
  constructor(private readonly target: string) {}

  /**
   * Listens on an ephemeral port.
   *
   * @returns the address
   */
  async listen(): Promise<string> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.server.address() as AddressInfo).port}`);
      });
    });
  }

  /** Stops listening and closes every connection. */
  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private forward(from: Socket, to: Socket): void {
    this.sockets.add(from);
    from.setNoDelay(true);
    from.on('data', (chunk) => {
      this.bytes += chunk.length;
      to.write(chunk);
    });
    from.on('error', () => to.destroy());
    from.on('close', () => to.destroy());
  }
}
