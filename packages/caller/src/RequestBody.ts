import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';

/**
 * The body of a caller's request as a stream of its own.
 *
 * The HTTP client destroys the body that it is given when sending fails. Destroying the
 * caller's request would close the caller's connection before it is answered.
 */
export default class RequestBody extends Readable {
  constructor(private readonly req: IncomingMessage) {
    super();
    req.on('data', this.onData);
    req.once('end', this.onEnd);
    req.once('close', this.onClose);
    req.pause();
  }

  override _read(): void {
    this.req.resume();
  }

  override _destroy(err: Error | null, callback: (err: Error | null) => void): void {
    this.req.off('data', this.onData);
    this.req.off('end', this.onEnd);
    this.req.off('close', this.onClose);
    callback(err);
  }

  private readonly onData = (chunk: Buffer): void => {
    if (!this.push(chunk)) this.req.pause();
  };

  private readonly onEnd = (): void => {
    this.push(null);
  };

  private readonly onClose = (): void => {
    if (!this.req.complete) this.destroy(new Error('the caller closed the connection'));
  };
}
