import type AnswerHandler from '@guavayard/core/dispatch/AnswerHandler';
import type Dispatch from '@guavayard/core/dispatch/Dispatch';
import type TargetRequest from '@guavayard/core/dispatch/TargetRequest';
import type Failure from '@guavayard/core/errors/Failure';

/** Exchange of a request for which no connection is left: it fails, and nothing is sent. */
export default class UnsentDispatch implements Dispatch {
  private isFinished = false;

  /**
   * @param req - the request
   * @param handler - receives the failure, in a later turn of the event loop
   */
  constructor({ body }: TargetRequest, private readonly handler: AnswerHandler) {
    setImmediate(() => {
      body?.destroy();
      this.fail({ kind: 'targetUnreachable', detail: 'all connections are in use', isUnsent: true });
    });
  }

  resume(): void {
    // There is no response to resume.
  }

  abort(reason: Failure): void {
    this.fail(reason);
  }

  private fail(failure: Failure): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.handler.onFailure(failure);
  }
}
