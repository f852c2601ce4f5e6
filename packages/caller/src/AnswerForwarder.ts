import type { ServerResponse } from 'node:http';

import type AnswerHandler from '@guavayard/core/dispatch/AnswerHandler';
import type AnswerHeaders from '@guavayard/core/dispatch/AnswerHeaders';
import type Failure from '@guavayard/core/errors/Failure';
import isHopByHop from '@guavayard/core/http/isHopByHop';

import sendFailure from './sendFailure';

/** Writes a target's answer to the caller as it arrives. */
export default class AnswerForwarder implements AnswerHandler {
  constructor(
    private readonly res: ServerResponse,
    private readonly onDone: () => void,
  ) {}

  onHeaders(status: number, headers: AnswerHeaders): void {
    Object.entries(headers).forEach(([name, value]) => {
      if (value !== undefined && !isHopByHop(name)) this.res.setHeader(name, value);
    });
    this.res.writeHead(status);
  }

  onData(chunk: Buffer): boolean {
    return this.res.write(chunk);
  }

  onEnd(): void {
    this.res.end();
    this.onDone();
  }

  onFailure(failure: Failure): void {
    sendFailure(this.res, failure);
    this.onDone();
  }
}
