import type { IncomingHttpHeaders } from 'node:http';
import { Readable } from 'node:stream';

import type RelayedHead from '@guavayard/core/relay/RelayedHead';
import relayLimits from '@guavayard/core/relay/relayLimits';

import joinRawHeaders from './joinRawHeaders';

/** A request that another entry relays, as a stream of its body; reports what has been consumed. */
export default class RelayedMessage extends Readable {
  readonly method: string;

  readonly url: string;

  readonly headers: IncomingHttpHeaders;

  readonly rawHeaders: string[];

  readonly socket: { readonly remoteAddress: string };

  /** Whether the whole body has arrived. */
  complete = false;

  private unreportedBytes = 0;

  /**
   * @param head - the request without its body
   * @param onRead - called with the number of bytes that have been consumed since the last call
   */
  constructor(head: RelayedHead, private readonly onRead: (bytes: number) => void) {
    super({ highWaterMark: relayLimits.chunkBytes });
    this.method = head.method;
    this.url = head.path;
    this.rawHeaders = head.rawHeaders;
    this.headers = joinRawHeaders(head.rawHeaders);
    this.socket = { remoteAddress: head.caller };
    if (!head.hasBody) this.add(Buffer.alloc(0), true);
  }

  /** Adds a received part of the body. */
  add(chunk: Buffer, isLast: boolean): void {
    if (this.destroyed || this.complete) return;
    if (chunk.length > 0) {
      this.unreportedBytes += chunk.length;
      if (this.push(chunk)) this.report();
    }
    if (!isLast) return;
    this.complete = true;
    this.push(null);
  }

  override _read(): void {
    this.report();
  }

  private report(): void {
    const bytes = this.unreportedBytes;
    this.unreportedBytes = 0;
    if (bytes > 0) this.onRead(bytes);
  }
}
