import type { Dispatcher } from 'undici';

import type AnswerHandler from '@guavayard/core/dispatch/AnswerHandler';
import type Dispatch from '@guavayard/core/dispatch/Dispatch';
import type Failure from '@guavayard/core/errors/Failure';

import describeSendError from './describeSendError';

const FIRST_STATUS = 100;
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;
/** Number of informational responses (1xx) before the final one. */
const MAX_INFORMATIONAL_RESPONSES = 16;

/** Learns what happens to the connection of a dispatch. */
interface ConnectionListener {
  /** Called before the request is written; throws to leave it unsent. */
  readonly onStart: () => void;
  /** Called when a response starts, informational ones included. */
  readonly onResponse: () => void;
  /** Called when this VM aborts the request, which closes the connection. */
  readonly onAbort: () => void;
  /** Called when the exchange has ended; its connection may still be closing. */
  readonly onFinished: () => void;
}

/** Adapts one undici dispatch to the interfaces of `core`. */
export default class UndiciDispatch implements Dispatch, Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;

  private isFinished = false;

  private informationalCount = 0;

  constructor(
    private readonly handler: AnswerHandler,
    private readonly connection: ConnectionListener,
  ) {}

  resume(): void {
    if (!this.isFinished) this.controller?.resume();
  }

  abort(reason: Failure): void {
    if (this.isFinished) return;
    // undici may still be waiting for a connection; fail the request without waiting for it.
    this.finish();
    if (this.controller !== undefined) this.connection.onAbort();
    this.controller?.abort(new Error(reason.kind));
    this.handler.onFailure(reason);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    // Throwing before any byte is written drops the request and keeps the connection.
    if (this.isFinished) throw new Error('the request was aborted before it was sent');
    this.connection.onStart();
    this.controller = controller;
    this.handler.onConnected();
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    this.connection.onResponse();
    if (this.isFinished) return;
    if (status < FIRST_STATUS || status > LAST_STATUS) {
      this.abort({ kind: 'targetFailed', detail: `status ${status}` });
      return;
    }
    if (status < FIRST_FINAL_STATUS) {
      this.countInformational();
      return;
    }
    this.handler.onHeaders(status, headers);
  }

  /** Aborts the exchange if informational responses do not end. */
  private countInformational(): void {
    this.informationalCount += 1;
    if (this.informationalCount > MAX_INFORMATIONAL_RESPONSES) {
      this.abort({ kind: 'targetFailed', detail: 'too many informational responses' });
    }
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.isFinished) return;
    if (!this.handler.onData(chunk)) controller.pause();
  }

  onResponseEnd(): void {
    if (this.isFinished) return;
    this.finish();
    // undici reuses the connection only after a turn of the event loop. A handler that sends its
    // next request before that gets a new connection.
    setImmediate(() => setImmediate(() => this.handler.onEnd()));
  }

  onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
    if (this.isFinished) return;
    this.finish();
    this.handler.onFailure(describeSendError(err, this.controller !== undefined));
  }

  private finish(): void {
    this.isFinished = true;
    this.connection.onFinished();
  }
}
