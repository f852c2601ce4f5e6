import type ReplayableBody from '@guavayard/caller/ReplayableBody';
import type AnswerHeaders from '@guavayard/core/dispatch/AnswerHeaders';
import type CallerReply from '@guavayard/core/dispatch/CallerReply';
import type Dispatch from '@guavayard/core/dispatch/Dispatch';
import type Failure from '@guavayard/core/errors/Failure';
import type RelayAllowance from '@guavayard/core/relay/RelayAllowance';
import type RelayHandler from '@guavayard/core/relay/RelayHandler';
import type RequestRelay from '@guavayard/core/relay/RequestRelay';
import type Clock from '@guavayard/core/types/Clock';

import type GatewayRequest from './GatewayRequest';

/** Receives the end of a relayed request. Exactly one of its functions is called, once. */
interface RelayAttemptListener {
  /** No entry agreed to serve the request, which has not been sent anywhere. */
  readonly onRefused: (reason: string) => void;
  readonly onFailed: (failure: Failure, retryAfterMs: number | undefined) => void;
  /** The response has been sent completely. */
  readonly onAnswered: (status: number) => void;
}

interface RelayAttemptOptions {
  readonly clock: Clock;
  readonly relay: RequestRelay;
  readonly request: GatewayRequest;
  readonly triedIds: readonly string[];
  /** Takes what this entry gives up of its shares for the request. */
  readonly takeAllowance: () => RelayAllowance;
  /** Returns the version of the declaration that is in force at this entry. */
  readonly version: () => number;
  /** Whether only an entry may get the request that checks the keys of tenants. */
  readonly needsKeyCheck: boolean;
  readonly body: ReplayableBody;
  readonly reply: CallerReply;
}

/** An attempt to have a request served by another entry. */
export default class RelayAttempt implements RelayHandler {
  /** The entry that has agreed to serve the request; undefined until one has. */
  entryName: string | undefined;

  private dispatch: Dispatch | undefined;

  private startedAtMs = 0;

  private status = 0;

  constructor(
    private readonly options: RelayAttemptOptions,
    private readonly listener: RelayAttemptListener,
  ) {}

  /** Whether the request may have been sent to a target. */
  get mayHaveRun(): boolean {
    return this.entryName !== undefined;
  }

  /** Starts to ask other entries. */
  start(): void {
    const {
      clock, relay, request, triedIds, takeAllowance, version, body,
    } = this.options;
    const { req, route } = request;
    this.startedAtMs = clock();
    this.dispatch = relay.send({
      head: {
        requestId: request.requestId,
        method: request.method,
        path: request.path,
        rawHeaders: req.rawHeaders,
        caller: req.socket.remoteAddress ?? '',
        hasBody: body.hasBody,
        service: request.service,
        triedIds: [...triedIds],
      },
      takeAllowance,
      version,
      deadlineMs: request.deadlineMs,
      homeRegions: route.homeRegions,
      needsKeyCheck: this.options.needsKeyCheck,
      openBody: () => body.open(),
    }, this);
  }

  /** Continues a response that was paused. */
  resume(): void {
    this.dispatch?.resume();
  }

  /** Ends the attempt. */
  abort(reason: Failure): void {
    this.dispatch?.abort(reason);
  }

  /** @returns the part of the log line that describes the attempt */
  describe(outcome: string): { entry: string; outcome: string; ms: number } {
    return {
      entry: this.entryName ?? '',
      outcome,
      ms: Math.round(this.options.clock() - this.startedAtMs),
    };
  }

  onGranted(entryName: string): void {
    this.entryName = entryName;
  }

  onHeaders(status: number, headers: AnswerHeaders): void {
    this.status = status;
    this.options.reply.start(status, headers);
  }

  onData(chunk: Buffer): boolean {
    return this.options.reply.write(chunk);
  }

  onEnd(): void {
    this.options.reply.end();
    this.listener.onAnswered(this.status);
  }

  onRefused(reason: string): void {
    this.listener.onRefused(reason);
  }

  onFailure(failure: Failure, retryAfterMs: number | undefined): void {
    this.listener.onFailed(failure, retryAfterMs);
  }
}
