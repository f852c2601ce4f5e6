import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

import splitHostPort from '@guavayard/core/utils/splitHostPort';

/** A TCP relay on loopback that counts what passes, in both directions together. */
export default class CountingProxy {
  bytes = 0;

  private readonly sockets = new Set<Socket>();

  private readonly server = createServer((near) => {
    const far = connect({ ...splitHostPort(this.target) });
    this.join(near, far);
    this.join(far, near);
  });

  /**
   * @param target - address that connections are passed on to
   */
  constructor(private readonly target: string) {}

  /**
   * Listens on a port of the system's choice.
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

  /** Closes every connection. */
  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private join(from: Socket, to: Socket): void {
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
