import type { ServerResponse } from 'node:http';

import type AnswerHeaders from '@guavayard/core/dispatch/AnswerHeaders';
import selectAnswerHeaders from '@guavayard/core/http/selectAnswerHeaders';

interface Head {
  readonly status: number;
  readonly headers: AnswerHeaders;
}

/** Holds the answer of a target back until it may be written to the caller. */
export default class AnswerWriter {
  private head: Head | undefined;

  private held: Buffer[] = [];

  private isForwarding = false;

  constructor(private readonly res: ServerResponse) {}

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
    if (this.isForwarding) return this.res.write(chunk);
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
}
