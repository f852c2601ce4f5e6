import type Dispatch from '@guavayard/core/dispatch/Dispatch';
import type RelayHandler from '@guavayard/core/relay/RelayHandler';
import type RelayRequest from '@guavayard/core/relay/RelayRequest';
import type RequestRelay from '@guavayard/core/relay/RequestRelay';

const SERVICE_MS = 200;

/** Simulates other entries: by default, one that serves each request after some time. */
export default class FakeRelay implements RequestRelay {
  /** Requests that were relayed. */
  readonly sent: RelayRequest[] = [];

  aborts = 0;

  /** Why the other entries refuse a request. */
  reason = 'unreachable';

  /** What the other entries do with a request. */
  mode: 'serves' | 'refuses' | 'fails' | 'overloaded' = 'serves';

  send(request: RelayRequest, handler: RelayHandler): Dispatch {
    this.sent.push(request);
    let isOver = false;
    const end = (run: () => void): void => {
      if (isOver) return;
      isOver = true;
      run();
    };
    if (this.mode === 'refuses') end(() => handler.onRefused(this.reason));
    else {
      handler.onGranted('entry-2');
      setTimeout(() => end(() => this.finish(handler)), SERVICE_MS);
    }
    return {
      resume: () => undefined,
      abort: (failure) => {
        this.aborts += 1;
        end(() => handler.onFailure(failure, undefined));
      },
    };
  }

  private finish(handler: RelayHandler): void {
    if (this.mode === 'fails') {
      handler.onFailure({ kind: 'relayFailed', detail: 'session lost' }, undefined);
    } else if (this.mode === 'overloaded') {
      handler.onFailure({ kind: 'overloaded', detail: '' }, 400);
    } else {
      handler.onHeaders(200, { 'content-length': '7' });
      handler.onData(Buffer.from('relayed'));
      handler.onEnd();
    }
  }
}
