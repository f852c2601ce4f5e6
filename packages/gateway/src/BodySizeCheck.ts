import type ReplayableBody from '@guavayard/caller/ReplayableBody';
import errorTable from '@guavayard/core/errors/errorTable';
import type Failure from '@guavayard/core/errors/Failure';
import type Clock from '@guavayard/core/types/Clock';

import type GatewayRequest from './GatewayRequest';

/** Checks the size of a body that has no declared length. */
export default class BodySizeCheck {
  private isAwaited = false;

  /**
   * @param clock - monotonic clock
   * @param request - the request
   * @param body - its body
   * @param onExceeded - called once if the body exceeds the limit
   */
  constructor(
    private readonly clock: Clock,
    private readonly request: GatewayRequest,
    private readonly body: ReplayableBody,
    onExceeded: (failure: Failure) => void,
  ) {
    // The entry that relays a request counts its bytes.
    if (request.relayedBy !== undefined) return;
    const { maxBodyBytes } = request;
    body.limit(maxBodyBytes, () => {
      onExceeded({ kind: 'bodyTooLarge', detail: `at most ${maxBodyBytes} bytes` });
    });
  }

  /**
   * @param failure - a failure of a request that has not run
   * @returns whether the size of the body may still turn it into one that a retry cannot mend
   */
  mayReplace({ kind }: Failure): boolean {
    const { req, relayedBy } = this.request;
    const { outcome, retryable } = errorTable[kind];
    return !this.isAwaited && outcome === 'not-run' && retryable
      && relayedBy === undefined && req.headers['transfer-encoding'] !== undefined && !req.readableEnded;
  }

  /**
   * Reads the body to its end or limit, for half of the time left: a retry needs the rest.
   *
   * @param refuse - called if the body is within the limit, or time is up
   * @returns the timer
   */
  awaitSize(refuse: () => void): NodeJS.Timeout {
    this.isAwaited = true;
    this.body.readToEnd(refuse);
    return setTimeout(refuse, (this.request.deadlineMs - this.clock()) / 2);
  }
}
