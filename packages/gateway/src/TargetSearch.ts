import type ReplayableBody from '@guavayard/caller/ReplayableBody';
import type Failure from '@guavayard/core/errors/Failure';
import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';
import type RetryGrant from '@guavayard/core/placement/RetryGrant';

import type Attempt from './Attempt';
import describePlacement from './describePlacement';
import type ExchangeDependencies from './ExchangeDependencies';
import type GatewayRequest from './GatewayRequest';
import type PlacementRequest from './PlacementRequest';
import type RelayHandover from './RelayHandover';

/**
 * Longest wait of a request whose body cannot be read on, in milliseconds: the close of its caller
 * would not be noticed.
 */
const UNREAD_WAIT_MS = 400;
/** Body length in bytes above which a request stays in its region while a target there is alive. */
const LARGE_BODY_BYTES = 16 * 1024;

interface TargetSearchOptions {
  readonly dependencies: ExchangeDependencies;
  readonly request: GatewayRequest;
  readonly body: ReplayableBody;
  /** Ids of the targets of earlier attempts. */
  readonly triedIds: readonly string[];
  readonly handover: RelayHandover;
}

interface TargetSearchListener {
  /** Called with the selected target, on which a slot is held until `release` is called. */
  readonly onPlaced: (target: PlacedTarget, release: Attempt['release']) => void;
  readonly onRefused: (failure: Failure, retryAfterMs: number) => void;
  /** Called while no more of the body can be read and the request has waited for too long. */
  readonly onUnread: () => void;
}

/** Finds a target for the next attempt of one request, or another entry if none can be reached. */
export default class TargetSearch {
  /** A retry that was taken from the budget and has not been sent. */
  private retry: RetryGrant | undefined;

  private leaveQueue: (() => void) | undefined;

  private unreadTimer: NodeJS.Timeout | undefined;

  private placed = 0;

  constructor(
    private readonly options: TargetSearchOptions,
    private readonly listener: TargetSearchListener,
  ) {}

  /**
   * Starts the search.
   *
   * @param retry - the retry that the attempt takes from the budget; undefined to keep the last one
   */
  start(retry?: RetryGrant): void {
    const { dependencies, body, handover } = this.options;
    this.retry = retry ?? this.retry;
    body.readAhead(dependencies.requestBytes, () => this.limitWait());
    if (handover.isAllowed && handover.isNeeded) {
      this.leaveQueue = undefined;
      this.startHandover();
      return;
    }
    const { placed } = this;
    const leaveQueue = dependencies.placement.place(this.createPlacementRequest());
    // `place` may have assigned and sent the request synchronously.
    if (this.placed === placed) this.leaveQueue = leaveQueue;
  }

  /** Leaves the queue of requests that wait for a target. */
  leave(): void {
    this.leaveQueue?.();
    this.leaveQueue = undefined;
  }

  /** Ends the search with the exchange. */
  end(): void {
    clearTimeout(this.unreadTimer);
    this.leave();
    // The entry that relays a request gives it to another one without a retry of its own.
    if (this.options.request.relayedBy !== undefined) this.recordRetrySent();
    this.retry?.release();
  }

  /** Records that the retry taken from the budget, if any, is sent now. */
  recordRetrySent(): void {
    this.retry?.recordSent(this.options.dependencies.clock());
    this.retry = undefined;
  }

  /** Limits the wait of a request that still waits for a target after a time. */
  private limitWait(): void {
    clearTimeout(this.unreadTimer);
    this.unreadTimer = setTimeout(() => this.listener.onUnread(), UNREAD_WAIT_MS);
  }

  private createPlacementRequest(): PlacementRequest {
    const { request, triedIds, handover } = this.options;
    return {
      ...describePlacement(request, triedIds),
      permittedIds: request.permittedIds,
      // What the target version has failed to serve, the others do.
      isCanary: request.isCanary && triedIds.length === request.triedIds.length,
      hasLargeBody: this.hasLargeBody,
      mayRelay: handover.isAllowed,
      onPlaced: (target, release) => {
        this.leaveQueue = undefined;
        this.placed += 1;
        this.listener.onPlaced(target, release);
      },
      onRefused: (failure, retryAfterMs) => {
        this.leaveQueue = undefined;
        if (failure.kind === 'targetsUnreachable' && handover.isAllowed) this.startHandover();
        else this.listener.onRefused(failure, retryAfterMs);
      },
    };
  }

  private startHandover(): void {
    this.recordRetrySent();
    this.options.handover.start();
  }

  private get hasLargeBody(): boolean {
    const { headers } = this.options.request.req;
    const isChunked = headers['transfer-encoding'] !== undefined;
    return isChunked || Number(headers['content-length'] ?? 0) > LARGE_BODY_BYTES;
  }
}
