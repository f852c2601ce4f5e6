import { createServer, type AddressInfo, type Socket } from 'node:net';

import type RawRequest from './RawRequest';

/** What a raw target does once the headers of a request have arrived. */
type Script = (socket: Socket, req: RawRequest) => void;

/** A target on a raw socket that answers byte by byte as a test scripts it. */
export default class RawTarget {
  /** Requests whose headers arrived, in order. */
  readonly received: RawRequest[] = [];

  /** Connections that were accepted. */
  connections = 0;

  private readonly sockets = new Set<Socket>();

  private waiters: (() => void)[] = [];

  private readonly server = createServer((socket) => this.accept(socket));

  /**
   * @param script - called for each request
   */
  constructor(private readonly script: Script) {}

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

  /** Stops listening and resets every connection. */
  async close(): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  /**
   * Waits until something has happened on a connection of this target.
   *
   * @param isDone - tells whether it has happened
   */
  async waitFor(isDone: () => boolean): Promise<void> {
    while (!isDone()) {
      // eslint-disable-next-line no-await-in-loop -- each change is looked at in turn
      await new Promise<void>((wake) => {
        this.waiters.push(wake);
      });
    }
  }

  /** Answers on every open connection. */
  answerAll(body: string): void {
    this.sockets.forEach((socket) => {
      socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
    });
  }

  /** Connections that are open now. */
  get open(): number {
    return this.sockets.size;
  }

  private accept(socket: Socket): void {
    this.connections += 1;
    this.sockets.add(socket);
    let text = '';
    socket.on('data', (chunk: Buffer) => {
      text += chunk.toString('latin1');
      text = this.takeRequests(socket, text);
      this.wake();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.sockets.delete(socket);
      this.wake();
    });
  }

  private takeRequests(socket: Socket, text: string): string {
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
    return this.takeRequests(socket, text.slice(end + 4));
  }

  private wake(): void {
    this.waiters.splice(0).forEach((waiter) => waiter());
  }
}
