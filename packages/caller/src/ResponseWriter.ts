import type { ServerResponse } from 'node:http';

import type AnswerHeaders from '@guavayard/core/dispatch/AnswerHeaders';
import selectAnswerHeaders from '@guavayard/core/http/selectAnswerHeaders';
import StoredAnswer from '@guavayard/core/idempotency/StoredAnswer';

/** Maximum size of a response body that is stored, in bytes. */
const MAX_STORED_BYTES = 64 * 1024;

interface Head {
  readonly status: number;
  readonly headers: AnswerHeaders;
}

/** Buffers a target's response until it may be written to the caller. */
export default class ResponseWriter {
  private head: Head | undefined;

  private buffered: Buffer[] = [];

  private isForwarding = false;

  private stored: Buffer[] | undefined;

  private storedBytes = 0;

  /**
   * @param res - the caller's response
   * @param isStored - whether to keep a copy of the response
   */
  constructor(private readonly res: ServerResponse, isStored: boolean) {
    if (isStored) this.stored = [];
  }

  /** The complete response; undefined if it is too large to be stored. */
  get storedResponse(): StoredAnswer | undefined {
    if (this.head === undefined || this.stored === undefined) return undefined;
    const response = StoredAnswer.safeParse({ ...this.head, body: Buffer.concat(this.stored) });
    return response.data;
  }

  /** Status of the response, once its headers have arrived. */
  get status(): number | undefined {
    return this.head?.status;
  }

  /**
   * Receives the status and headers of a response.
   *
   * @param status - HTTP status
   * @param headers - headers as the target sent them
   */
  begin(status: number, headers: AnswerHeaders): void {
    this.head = { status, headers: selectAnswerHeaders(headers) };
  }

  /**
   * Receives a chunk of the body.
   *
   * @param chunk - the chunk
   * @returns false if the caller does not read fast enough, to apply backpressure
   */
  write(chunk: Buffer): boolean {
    this.store(chunk);
    // A caller that disconnects must not stall the run of a request with an idempotency key.
    if (this.isForwarding) return this.res.write(chunk) || this.res.destroyed;
    this.buffered.push(chunk);
    return true;
  }

  /** Writes the buffered chunks, and all that follow, to the caller. */
  forward(): void {
    if (this.head === undefined) return;
    this.isForwarding = true;
    this.res.writeHead(this.head.status, this.head.headers);
    // Otherwise Node would delay the headers until the first chunk of the body.
    if (this.buffered.length === 0) this.res.flushHeaders();
    this.buffered.forEach((chunk) => this.res.write(chunk));
    this.buffered = [];
  }

  /** Discards a response of which nothing has been sent to the caller. */
  discard(): void {
    this.head = undefined;
    this.buffered = [];
  }

  /** Ends the response to the caller. */
  end(): void {
    this.res.end();
  }

  private store(chunk: Buffer): void {
    this.storedBytes += chunk.length;
    if (this.storedBytes > MAX_STORED_BYTES) this.stored = undefined;
    this.stored?.push(Buffer.from(chunk));
  }
}
