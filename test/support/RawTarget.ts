import { createServer, type AddressInfo, type Socket } from 'node:net';

import type RawRequest from './RawRequest';

/** Called with each request once its headers have arrived; may write to or close the socket. */
type RequestScript = (socket: Socket, req: RawRequest) => void;

/** A target on a raw TCP socket whose exact response bytes are scripted by a test. */
export default class RawTarget {
  /** Requests whose headers have arrived, in order. */
  readonly received: RawRequest[] = [];

  /** Number of connections accepted so far. */
  acceptedConnections = 0;

  private readonly sockets = new Set<Socket>();

  private waiters: (() => void)[] = [];

  private readonly server = createServer((socket) => this.accept(socket));

  /**
   * @param script - called for each request once its headers have arrived
   */
  constructor(private readonly script: RequestScript) {}

  /**
   * Listens on a port chosen by the operating system.
   *
   * @returns the address, as `host:port`
   */
  async listen(): Promise<string> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        resolve(`127.0.0.1:${(this.server.address() as AddressInfo).port}`);
      });
    });
  }

  /** Stops listening and destroys every connection. */
  async close(): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  /**
   * Waits for a condition, which is checked after each event on a connection of this target.
   *
   * @param isDone - returns whether the condition holds
   */
  async waitFor(isDone: () => boolean): Promise<void> {
    while (!isDone()) {
      // eslint-disable-next-line no-await-in-loop -- the condition is checked after each event
      await new Promise<void>((wake) => {
        this.waiters.push(wake);
      });
    }
  }

  /** Writes a complete 200 response with this body to every open connection. */
  respondToAll(body: string): void {
    this.sockets.forEach((socket) => {
      socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
    });
  }

  /** Number of connections that are open now. */
  get openConnections(): number {
    return this.sockets.size;
  }

  private accept(socket: Socket): void {
    this.acceptedConnections += 1;
    this.sockets.add(socket);
    let text = '';
    socket.on('data', (chunk: Buffer) => {
      text += chunk.toString('latin1');
      text = this.parseRequests(socket, text);
      this.notifyWaiters();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.sockets.delete(socket);
      this.notifyWaiters();
    });
  }

  private parseRequests(socket: Socket, text: string): string {
    const start = text.search(/(GET|PUT|POST|HEAD|DELETE) \//);
    const end = text.indexOf('\r\n\r\n', start);
    if (start < 0 || end < 0) return text;
    const [line = '', ...lines] = text.slice(start, end).split('\r\n');
    const [method = '', path = ''] = line.split(' ');
    const headers = new Map(lines.map((header) => {
      const colon = header.indexOf(':');
      return [header.slice(0, colon).toLowerCase(), header.slice(colon + 1).trim()];
    }));
    const req = { method, path, headers };
    this.received.push(req);
    this.script(socket, req);
    return this.parseRequests(socket, text.slice(end + 4));
  }

  private notifyWaiters(): void {
    this.waiters.splice(0).forEach((waiter) => waiter());
  }
}
