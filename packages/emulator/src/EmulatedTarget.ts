import {
  createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';

/** A target for demonstrations and tests: echoes bodies and counts what it ran. */
export default class EmulatedTarget {
  readonly server: Server;

  /** Requests that this target has begun to run. */
  runs = 0;

  constructor(private readonly id: string) {
    this.server = createServer((req, res) => this.serve(req, res));
  }

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

  private serve(req: IncomingMessage, res: ServerResponse): void {
    this.runs += 1;
    res.setHeader('emulated-target', this.id);
    if (req.method === 'POST') {
      req.pipe(res);
      return;
    }
    const body = `${req.method} ${req.url} answered by ${this.id}\n`;
    res.end(body);
  }
}
