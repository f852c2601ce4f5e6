import type { Dispatcher } from 'undici';

import type AnswerHandler from '@guavayard/core/dispatch/AnswerHandler';
import type Dispatch from '@guavayard/core/dispatch/Dispatch';
import type Failure from '@guavayard/core/errors/Failure';

import describeSendError from './describeSendError';

const FIRST_FINAL_STATUS = 200;

/** Adapts one exchange of undici to the interfaces of the core. */
export default class UndiciDispatch implements Dispatch, Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;

  private abortReason: Failure | undefined;

  private isDone = false;

  constructor(private readonly handler: AnswerHandler) {}

  resume(): void {
    this.controller?.resume();
  }

  abort(reason: Failure): void {
    if (this.isDone || this.abortReason !== undefined) return;
    this.abortReason = reason;
    this.controller?.abort(new Error(reason.detail));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    // The exchange may have been aborted while it waited for a connection.
    if (this.abortReason !== undefined) controller.abort(new Error(this.abortReason.detail));
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (status < FIRST_FINAL_STATUS) return;
    this.handler.onHeaders(status, headers);
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.handler.onData(chunk)) controller.pause();
  }

  onResponseEnd(): void {
    this.isDone = true;
    this.handler.onEnd();
  }

  onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
    this.isDone = true;
    this.handler.onFailure(this.abortReason ?? describeSendError(err));
  }
}
