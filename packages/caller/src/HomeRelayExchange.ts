import type { ServerResponse } from 'node:http';

import type AnswerHandler from '@guavayard/core/dispatch/AnswerHandler';
import type AnswerHeaders from '@guavayard/core/dispatch/AnswerHeaders';
import type Dispatch from '@guavayard/core/dispatch/Dispatch';
import type Failure from '@guavayard/core/errors/Failure';
import createRelayHeaders from '@guavayard/core/http/createRelayHeaders';
import isFramedAnswer from '@guavayard/core/http/isFramedAnswer';
import selectAnswerHeaders from '@guavayard/core/http/selectAnswerHeaders';

import type CallerRequest from './CallerRequest';
import type EntryView from './EntryView';
import recordOf from './recordOf';
import ReplayableBody from './ReplayableBody';
import sendFailure from './sendFailure';

/** Most connections to one entry. */
const CONNECTION_LIMIT = 64;

/** Hands a request, streaming, to an entry in its home regions. Nothing of it is kept. */
export default class HomeRelayExchange implements AnswerHandler {
  private readonly body: ReplayableBody;

  private dispatch: Dispatch | undefined;

  private deadline: NodeJS.Timeout | undefined;

  private isConnected = false;

  private isEnded = false;

  /**
   * @param entry - the rest of the entry
   * @param request - the caller's request
   * @param res - the caller's response
   * @param addresses - entries in the home regions that are still to be tried
   */
  constructor(
    private readonly entry: EntryView,
    private readonly request: CallerRequest,
    private readonly res: ServerResponse,
    private readonly addresses: string[],
  ) {
    this.body = new ReplayableBody(request.req, false);
  }

  /** Starts the exchange. The response is always finished or destroyed in the end. */
  start(): void {
    recordOf(this.res).isRelayed = true;
    const remainingMs = this.request.deadlineMs - this.entry.clock();
    this.deadline = setTimeout(() => this.expire(), remainingMs);
    this.res.on('drain', () => this.dispatch?.resume());
    this.res.once('close', () => this.leave());
    this.tryNext();
  }

  onConnected(): void {
    this.isConnected = true;
  }

  onHeaders(status: number, headers: AnswerHeaders): void {
    if (!isFramedAnswer(this.request.method, status, headers)) {
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
    else this.refuse(failure);
  }

  private tryNext(): void {
    const address = this.addresses.shift();
    // The configuration is asked again: the lease may have lapsed meanwhile.
    if (this.entry.configuration() === undefined) this.refuse({ kind: 'noConfiguration', detail: '' });
    else if (address === undefined) this.refuse({ kind: 'noHomeEntry', detail: '' });
    else this.send(address);
  }

  private send(address: string): void {
    const { req, method, path } = this.request;
    const remainingMs = this.request.deadlineMs - this.entry.clock();
    const relayHeader = this.entry.relay.sign('home', recordOf(this.res).requestId);
    const left = this.addresses.length;
    const dispatch = this.entry.sender.send({ address, connectionLimit: CONNECTION_LIMIT }, {
      method,
      path,
      headers: createRelayHeaders(req.rawHeaders, remainingMs, relayHeader),
      body: this.body.open(),
    }, this);
    // The dispatch may have failed at once and another may be under way already.
    if (left === this.addresses.length) this.dispatch = dispatch;
  }

  private expire(): void {
    const kind = this.isConnected ? 'deadlineExceeded' : 'deadlineBeforeDispatch';
    this.refuse({ kind, detail: '' });
  }

  private leave(): void {
    if (this.isEnded) return;
    this.release();
    this.dispatch?.abort({ kind: 'callerGone', detail: '' });
  }

  private refuse(failure: Failure): void {
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
