import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';

import cutResponse from '@guavayard/caller/cutResponse';
import runAfterReads from '@guavayard/caller/runAfterReads';
import type AnswerHeaders from '@guavayard/core/dispatch/AnswerHeaders';
import type CallerReply from '@guavayard/core/dispatch/CallerReply';
import type Failure from '@guavayard/core/errors/Failure';

import type Dialect from './Dialect';

/** The response to a caller that is connected to this entry. */
export default class DirectReply implements CallerReply {
  /**
   * @param res - the response
   * @param dialect - translates failures
   * @param requestId - id of the request, if it has one
   */
  constructor(
    private readonly res: ServerResponse,
    private readonly dialect: Dialect,
    private readonly requestId: string | undefined,
  ) {}

  get isStarted(): boolean {
    return this.res.headersSent;
  }

  get isClosed(): boolean {
    return this.res.destroyed;
  }

  start(status: number, headers: AnswerHeaders): void {
    this.res.writeHead(status, headers as OutgoingHttpHeaders);
  }

  write(chunk: Buffer): boolean {
    return this.res.write(chunk) || this.res.destroyed;
  }

  end(chunk?: Buffer): void {
    this.res.end(chunk);
  }

  cut(): void {
    cutResponse(this.res);
  }

  refuse(failure: Failure, retryAfterMs: number | undefined): number {
    const { status, headers, body } = this.dialect
      .createFailureResponse(failure, this.requestId, retryAfterMs);
    if (this.isStarted) this.cut();
    else {
      runAfterReads(this.res, () => {
        this.res.writeHead(status, headers);
        this.res.end(body);
      });
    }
    return status;
  }

  onClose(run: () => void): void {
    this.res.once('close', run);
  }

  onDrain(run: () => void): void {
    this.res.on('drain', run);
  }
}
