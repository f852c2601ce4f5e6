import { once } from 'node:events';
import {
  connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';

/** A relay of TCP connections that can be cut silently: nothing is closed, nothing gets through. */
export default class LinkRelay {
  private readonly server: Server;

  private readonly sockets = new Set<Socket>();

  private isCut = false;

  /**
   * @param port - port on the loopback address that connections are handed on to
   */
  constructor(port: number) {
    this.server = createServer({ allowHalfOpen: true }, (near) => {
      const far = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
      this.join(near, far);
      this.join(far, near);
    });
  }

  /**
   * @returns the relay's own address
   */
  async listen(): Promise<string> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Lets nothing through any more. */
  cut(): void {
    this.isCut = true;
  }

  /** Lets everything through again; connections from before have lost bytes and are closed. */
  mend(): void {
    this.isCut = false;
    this.sockets.forEach((socket) => socket.destroy());
  }

  /** Closes the relay. */
  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private join(from: Socket, to: Socket): void {
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
