import { once } from 'node:events';
import {
  connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';

/**
 * A TCP proxy that simulates a network partition: while it is cut, it drops all data silently and
 * leaves connections open.
 */
export default class LinkRelay {
  private readonly server: Server;

  private readonly sockets = new Set<Socket>();

  private isCut = false;

  /**
   * @param port - port of the loopback address to which connections are forwarded
   */
  constructor(port: number) {
    this.server = createServer({ allowHalfOpen: true }, (client) => {
      const upstream = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
      this.forwardData(client, upstream);
      this.forwardData(upstream, client);
    });
  }

  /**
   * Listens on a port chosen by the operating system.
   *
   * @returns the address of this proxy, as `host:port`
   */
  async listen(): Promise<string> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Drops all data from now on, without closing connections. */
  cut(): void {
    this.isCut = true;
  }

  /** Forwards data again. Closes the existing connections, since they have lost bytes. */
  heal(): void {
    this.isCut = false;
    this.sockets.forEach((socket) => socket.destroy());
  }

  /** Stops listening and destroys all connections. */
  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private forwardData(from: Socket, to: Socket): void {
    this.sockets.add(from);
    from.on('data', (chunk: Buffer) => {
      if (!this.isCut) to.write(chunk);
    });
    from.on('error', () => undefined);
    from.on('close', () => {
      this.sockets.delete(from);
      if (!this.isCut) to.destroy();
    });
    from.on('end', () => {
      if (!this.isCut) to.end();
    });
  }
}
