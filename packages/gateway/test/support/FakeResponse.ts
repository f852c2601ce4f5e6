import { EventEmitter } from 'node:events';

/** An in-memory response that records what the entry sends to a caller. */
export default class FakeResponse extends EventEmitter {
  status: number | undefined;

  headers: Readonly<Record<string, unknown>> = {};

  body = '';

  endedAtMs: number | undefined;

  headersSent = false;

  destroyed = false;

  readonly shouldKeepAlive = true;

  constructor(private readonly clock: () => number) {
    super();
  }

  writeHead(status: number, headers: Readonly<Record<string, unknown>>): void {
    this.status = status;
    this.headers = headers;
    this.headersSent = true;
  }

  write(chunk: Buffer): boolean {
    this.body += chunk.toString();
    return true;
  }

  end(chunk?: Buffer | string): void {
    this.body += chunk?.toString() ?? '';
    this.endedAtMs = this.clock();
    queueMicrotask(() => this.emit('close'));
  }

  destroy(): void {
    this.destroyed = true;
    queueMicrotask(() => this.emit('close'));
  }
}
