import type { ServerResponse } from 'node:http';

import connectionLimits from '@guavayard/core/connections/connectionLimits';
import type AnswerHandler from '@guavayard/core/dispatch/AnswerHandler';
import type AnswerHeaders from '@guavayard/core/dispatch/AnswerHeaders';
import type Dispatch from '@guavayard/core/dispatch/Dispatch';
import type Failure from '@guavayard/core/errors/Failure';
import createRelayHeaders from '@guavayard/core/http/createRelayHeaders';
import isFramedResponse from '@guavayard/core/http/isFramedResponse';
import selectAnswerHeaders from '@guavayard/core/http/selectAnswerHeaders';

import type CallerRequest from './CallerRequest';
import type EntryServices from './EntryServices';
import getRequestRecord from './getRequestRecord';
import ReplayableBody from './ReplayableBody';
import sendFailure from './sendFailure';

/** Streams a request to an entry in its home regions, without buffering the body for retries. */
export default class HomeRelayExchange implements AnswerHandler {
  private readonly body: ReplayableBody;

  private dispatch: Dispatch | undefined;

  private deadline: NodeJS.Timeout | undefined;

  private isConnected = false;

  private isEnded = false;

  /**
   * @param entry - components of the entry
   * @param request - the caller's request
   * @param res - the caller's response
   * @param addresses - addresses of entries in the home regions, in the order to try them
   */
  constructor(
    private readonly entry: EntryServices,
    private readonly request: CallerRequest,
    private readonly res: ServerResponse,
    private readonly addresses: string[],
  ) {
    this.body = new ReplayableBody(request.req, false);
  }

  /** Starts the exchange. The response is eventually finished or destroyed in every case. */
  start(): void {
    getRequestRecord(this.res).isRelayed = true;
    const remainingMs = this.request.deadlineMs - this.entry.clock();
    this.deadline = setTimeout(() => this.handleDeadline(), remainingMs);
    this.res.on('drain', () => this.dispatch?.resume());
    this.res.once('close', () => this.handleCallerClose());
    this.tryNext();
  }

  onConnected(): void {
    this.isConnected = true;
  }

  onHeaders(status: number, headers: AnswerHeaders): void {
    if (!isFramedResponse(this.request.method, status, headers)) {
      this.dispatch?.abort({ kind: 'unframedAnswer', detail: '' });
      return;
    }
    this.res.writeHead(status, selectAnswerHeaders(headers));
    this.res.flushHeaders();
  }

  onData(chunk: Buffer): boolean {
    return this.res.write(chunk);
  }

  onEnd(): void {
    this.release();
    this.res.end();
  }

  onFailure(failure: Failure): void {
    if (this.isEnded) return;
    if (failure.kind === 'targetUnreachable' && this.body.isReplayable) this.tryNext();
    else this.rejectRequest(failure);
  }

  private tryNext(): void {
    const address = this.addresses.shift();
    // Check the configuration again, because the lease may have lapsed in the meantime.
    if (this.entry.configuration() === undefined) this.rejectRequest({ kind: 'noConfiguration', detail: '' });
    else if (address === undefined) this.rejectRequest({ kind: 'noHomeEntry', detail: '' });
    else this.send(address);
  }

  private send(address: string): void {
    const { req, method, path } = this.request;
    const remainingMs = this.request.deadlineMs - this.entry.clock();
    const relayHeader = this.entry.relay.sign('home', getRequestRecord(this.res).requestId);
    const remaining = this.addresses.length;
    const home = { address, connectionLimit: connectionLimits.maxPerEntry };
    const dispatch = this.entry.sender.send(home, {
      method,
      path,
      headers: createRelayHeaders(req.rawHeaders, remainingMs, relayHeader),
      body: this.body.open(),
    }, this);
    // The dispatch may have failed synchronously and have already triggered the next one.
    if (remaining === this.addresses.length) this.dispatch = dispatch;
  }

  private handleDeadline(): void {
    const kind = this.isConnected ? 'deadlineExceeded' : 'deadlineBeforeDispatch';
    this.rejectRequest({ kind, detail: '' });
  }

  private handleCallerClose(): void {
    if (this.isEnded) return;
    this.release();
    this.dispatch?.abort({ kind: 'callerGone', detail: '' });
  }

  private rejectRequest(failure: Failure): void {
    this.release();
    this.dispatch?.abort(failure);
    sendFailure(this.res, failure);
  }

  private release(): void {
    this.isEnded = true;
    clearTimeout(this.deadline);
    this.body.discard();
  }
}
