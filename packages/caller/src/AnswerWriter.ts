import type { ServerResponse } from 'node:http';

import type AnswerHeaders from '@guavayard/core/dispatch/AnswerHeaders';
import selectAnswerHeaders from '@guavayard/core/http/selectAnswerHeaders';
import StoredAnswer from '@guavayard/core/idempotency/StoredAnswer';

/** Longest answer of which a copy is kept, in bytes. */
const MAX_STORED_BYTES = 64 * 1024;

interface Head {
  readonly status: number;
  readonly headers: AnswerHeaders;
}

/** Holds the answer of a target back until it may be written to the caller. */
export default class AnswerWriter {
  private head: Head | undefined;

  private held: Buffer[] = [];

  private isForwarding = false;

  private stored: Buffer[] | undefined;

  private storedBytes = 0;

  /**
   * @param res - the caller's response
   * @param isStored - whether a copy of the answer is kept
   */
  constructor(private readonly res: ServerResponse, isStored: boolean) {
    if (isStored) this.stored = [];
  }

  /** The whole answer, unless it is too large to be stored. */
  get storedAnswer(): StoredAnswer | undefined {
    if (this.head === undefined || this.stored === undefined) return undefined;
    const answer = StoredAnswer.safeParse({ ...this.head, body: Buffer.concat(this.stored) });
    return answer.data;
  }

  /** Status of the answer, once its headers have come. */
  get status(): number | undefined {
    return this.head?.status;
  }

  /**
   * Takes the head of an answer.
   *
   * @param status - HTTP status
   * @param headers - headers as the target sent them
   */
  begin(status: number, headers: AnswerHeaders): void {
    this.head = { status, headers: selectAnswerHeaders(headers) };
  }

  /**
   * Takes a part of the body.
   *
   * @param chunk - the part
   * @returns false if the caller does not read fast enough
   */
  write(chunk: Buffer): boolean {
    this.store(chunk);
    // A caller that has left must not stop the run of a request with an idempotency key.
    if (this.isForwarding) return this.res.write(chunk) || this.res.destroyed;
    this.held.push(chunk);
    return true;
  }

  /** Writes what is held, and everything that follows, to the caller. */
  forward(): void {
    if (this.head === undefined) return;
    this.isForwarding = true;
    this.res.writeHead(this.head.status, this.head.headers);
    // Without this the headers would wait for the first part of the body.
    if (this.held.length === 0) this.res.flushHeaders();
    this.held.forEach((chunk) => this.res.write(chunk));
    this.held = [];
  }

  /** Forgets an answer that the caller has not seen. */
  drop(): void {
    this.head = undefined;
    this.held = [];
  }

  /** Ends the answer to the caller. */
  end(): void {
    this.res.end();
  }

  private store(chunk: Buffer): void {
    this.storedBytes += chunk.length;
    if (this.storedBytes > MAX_STORED_BYTES) this.stored = undefined;
    this.stored?.push(Buffer.from(chunk));
  }
}
