import type ReplayableBody from '@guavayard/caller/ReplayableBody';
import type CallerReply from '@guavayard/core/dispatch/CallerReply';
import errorTable from '@guavayard/core/errors/errorTable';
import type Failure from '@guavayard/core/errors/Failure';
import placementLimits from '@guavayard/core/placement/placementLimits';
import type RetryGrant from '@guavayard/core/placement/RetryGrant';
import findEntryWait from '@guavayard/core/relay/findEntryWait';
import type RelayAllowance from '@guavayard/core/relay/RelayAllowance';
import relayLimits from '@guavayard/core/relay/relayLimits';

import type ExchangeDependencies from './ExchangeDependencies';
import type GatewayRequest from './GatewayRequest';
import RelayAttempt from './RelayAttempt';

/** Times that one request is given to another entry. */
const MAX_RELAYS = 2;
const FIRST_FAILURE_STATUS = 300;
/**
 * Retry delay for a caller whose request could be sent neither to a target nor to another entry, in
 * milliseconds. Random jitter of up to the same length spreads the retries.
 */
const UNREACHABLE_RETRY_AFTER_MS = 250;

/** Receives what comes of giving a request to other entries. */
interface RelayHandoverListener {
  /**
   * The request is to be placed again, or to be given to another entry if that still fails, with a
   * retry if the last attempt may have reached a target.
   */
  readonly onPlace: (retry?: RetryGrant) => void;
  /** Another entry may have sent the request to a target. */
  readonly onMayHaveRun: () => void;
  readonly onFailed: (failure: Failure, retryAfterMs: number | undefined) => void;
  /** The response has been sent completely. */
  readonly onAnswered: (decision: string, status: number) => void;
}

interface RelayHandoverOptions {
  readonly dependencies: ExchangeDependencies;
  readonly request: GatewayRequest;
  readonly body: ReplayableBody;
  readonly reply: CallerReply;
  /** Ids of the targets of earlier attempts. */
  readonly triedIds: readonly string[];
}

/** Decides when a request whose targets cannot be reached is given to other entries. */
export default class RelayHandover {
  private lastLine: ReturnType<RelayAttempt['describe']> | undefined;

  private attempt: RelayAttempt | undefined;

  private relays = 0;

  private askTimer: NodeJS.Timeout | undefined;

  private isEnded = false;

  constructor(
    private readonly options: RelayHandoverOptions,
    private readonly listener: RelayHandoverListener,
  ) {}

  /** Whether another entry may be asked to serve the request. Relayed requests go no further. */
  get isAllowed(): boolean {
    const { request: { relayedBy, deadlineMs }, body, dependencies } = this.options;
    return relayedBy === undefined && this.relays < MAX_RELAYS && body.isReplayable
      && deadlineMs - dependencies.clock() >= relayLimits.minRemainingMs;
  }

  /** Whether another entry has the request now, so that it may run. */
  get isSent(): boolean {
    return this.attempt?.mayHaveRun === true;
  }

  /** Whether no target of the service of the request can be reached. */
  get isNeeded(): boolean {
    const { dependencies: { pool }, request: { service } } = this.options;
    return pool.paths.reachability.isUnreachable(service);
  }

  /** The part of the log line that describes the last attempt; undefined if there was none. */
  get line(): ReturnType<RelayAttempt['describe']> | undefined {
    return this.attempt?.describe('not finished') ?? this.lastLine;
  }

  /** Starts to ask other entries. */
  start(): void {
    const {
      dependencies: {
        clock, keys, relay, pool, prober, version,
      },
      request, body, reply, triedIds,
    } = this.options;
    const { service, route: { homeRegions } } = request;
    const takeAllowance = (): RelayAllowance => ({
      permittedIds: pool.takePermits(service, homeRegions, triedIds),
      probes: prober.giveUp(placementLimits.firstProbes),
    });
    this.relays += 1;
    const attempt = new RelayAttempt({
      clock,
      relay,
      request,
      triedIds,
      takeAllowance,
      version,
      needsKeyCheck: keys.hasTenants,
      body,
      reply,
    }, {
      onRefused: (reason) => this.handleRefusal(reason),
      onFailed: (failure, retryAfterMs) => this.handleFailure(failure, retryAfterMs),
      onAnswered: (status) => {
        const decision = status < FIRST_FAILURE_STATUS ? 'answered' : 'target failed';
        this.finishAttempt(`${decision} ${status}`);
        this.listener.onAnswered(decision, status);
      },
    });
    this.attempt = attempt;
    attempt.start();
  }

  /** Continues a response that was paused. */
  resume(): void {
    this.attempt?.resume();
  }

  /** Ends the handover with the exchange: nothing is asked or reported any more. */
  end(reason?: Failure): void {
    this.isEnded = true;
    clearTimeout(this.askTimer);
    if (reason !== undefined) this.attempt?.abort(reason);
  }

  private finishAttempt(outcome: string): void {
    this.lastLine = this.attempt?.describe(outcome);
    this.attempt = undefined;
  }

  private handleRefusal(reason: string): void {
    this.finishAttempt(`refused ${reason}`);
    if (this.isEnded) return;
    if (this.isNeeded && this.mayWait(reason)) {
      this.relays -= 1;
      this.askTimer = setTimeout(() => this.listener.onPlace(), relayLimits.askAgainMs);
      return;
    }
    this.relays = MAX_RELAYS;
    if (!this.isNeeded) {
      this.listener.onPlace();
      return;
    }
    const retryAfterMs = UNREACHABLE_RETRY_AFTER_MS * (1 + Math.random());
    this.listener.onFailed({ kind: 'targetsUnreachable', detail: `other entries: ${reason}` }, retryAfterMs);
  }

  /** Whether the request may wait for another entry, by the reason why none has taken it. */
  private mayWait(reason: string): boolean {
    const {
      dependencies, request: { route: { targetLatencyMs }, arrivedAtMs, deadlineMs },
    } = this.options;
    const waitMs = findEntryWait(reason, targetLatencyMs, deadlineMs - arrivedAtMs);
    return dependencies.clock() + relayLimits.askAgainMs <= arrivedAtMs + waitMs;
  }

  private handleFailure(failure: Failure, retryAfterMs: number | undefined): void {
    const {
      dependencies: { placement }, request: { service, route }, body, reply,
    } = this.options;
    const isNotRun = errorTable[failure.kind].outcome === 'not-run';
    this.finishAttempt(`${isNotRun ? 'not-run' : 'failed'} ${failure.kind}`);
    if (this.isEnded) return;
    if (!isNotRun) this.listener.onMayHaveRun();
    // That entry has lost its targets, too; others may have some.
    if (failure.kind === 'targetsUnreachable' && this.isAllowed) {
      body.close();
      this.start();
      return;
    }
    const mayRetry = !isNotRun && route.isIdempotent && !reply.isStarted && this.isAllowed;
    const retry = mayRetry ? placement.takeRetry(service) : undefined;
    if (retry === undefined) {
      this.listener.onFailed(failure, retryAfterMs);
      return;
    }
    body.close();
    this.listener.onPlace(retry);
  }
}
