import type { ServerResponse } from 'node:http';

import type AnswerHandler from '@guavayard/core/dispatch/AnswerHandler';
import type AnswerHeaders from '@guavayard/core/dispatch/AnswerHeaders';
import errorTable from '@guavayard/core/errors/errorTable';
import type Failure from '@guavayard/core/errors/Failure';
import isHopByHop from '@guavayard/core/http/isHopByHop';
import type AttemptResult from '@guavayard/core/scheduling/AttemptResult';

import sendFailure from './sendFailure';

const LOAD_HEADER = 'guavayard-load';

function judgeFailure(failure: Failure): AttemptResult['evidence'] {
  if (failure.kind === 'callerGone' || failure.kind === 'deadlineExceeded') return 'cancelled';
  return errorTable[failure.kind].outcome === 'not-run' ? 'refused' : 'failed';
}

/** Writes a target's answer to the caller as it arrives. */
export default class AnswerForwarder implements AnswerHandler {
  private status: number | undefined;

  private loadHeader: string | undefined;

  constructor(
    private readonly res: ServerResponse,
    private readonly onDone: (result: AttemptResult) => void,
  ) {}

  onHeaders(status: number, headers: AnswerHeaders): void {
    this.status = status;
    Object.entries(headers).forEach(([name, value]) => this.forwardHeader(name, value));
    this.res.writeHead(status);
  }

  onData(chunk: Buffer): boolean {
    return this.res.write(chunk);
  }

  onEnd(): void {
    this.res.end();
    this.finish('answered');
  }

  onFailure(failure: Failure): void {
    sendFailure(this.res, failure);
    this.finish(judgeFailure(failure));
  }

  private forwardHeader(name: string, value: string | string[] | undefined): void {
    if (name === LOAD_HEADER) this.loadHeader = String(value);
    else if (value !== undefined && !isHopByHop(name)) this.res.setHeader(name, value);
  }

  private finish(evidence: AttemptResult['evidence']): void {
    this.onDone({ evidence, status: this.status, loadHeader: this.loadHeader });
  }
}
