import type { Readable } from 'node:stream';

import type AnswerHandler from '@guavayard/core/dispatch/AnswerHandler';
import type Failure from '@guavayard/core/errors/Failure';
import isFramedResponse from '@guavayard/core/http/isFramedResponse';

import type Attempt from './Attempt';
import classifyResponse from './classifyResponse';
import type ExchangeDependencies from './ExchangeDependencies';
import type GatewayRequest from './GatewayRequest';
import isRefusalStatus from './isRefusalStatus';
import type ResponseForwarder from './ResponseForwarder';
import type ResponseMetadata from './ResponseMetadata';

interface AttemptSenderListener {
  /** Returns whether the response to an attempt may be sent before it is complete. */
  readonly mayStream: (attempt: Attempt) => boolean;
  /** Called when an attempt has ended; `failure` is undefined if its response is complete. */
  readonly onEnded: (attempt: Attempt, failure: Failure | undefined) => void;
}

/** Sends the attempts of one request and reads their responses. */
export default class AttemptSender {
  constructor(
    private readonly dependencies: ExchangeDependencies,
    private readonly request: GatewayRequest,
    private readonly forwarder: ResponseForwarder,
    private readonly listener: AttemptSenderListener,
  ) {}

  /**
   * Sends the request to the target of an attempt, which may end before this returns.
   *
   * @param attempt - the attempt
   * @param body - the body of the request, null without one
   */
  send(attempt: Attempt, body: Readable | null): void {
    const state = attempt;
    const {
      dialect, keys, pool, sender,
    } = this.dependencies;
    const { request } = this;
    const { record } = attempt.target;
    const dispatch = sender.send(
      {
        address: record.address,
        connectionLimit: pool.paths.connections.limitOf(attempt.target),
      },
      {
        method: request.method,
        path: request.path,
        headers: dialect.createHeaders(request.req.rawHeaders, {
          remainingMs: Math.max(1, Math.floor(request.deadlineMs - attempt.startedAtMs)),
          targetId: record.id,
          ...keys.describeTenant(request),
        }),
        body,
        purpose: 'bound',
      },
      this.createHandler(attempt),
    );
    if (!attempt.isOver) state.dispatch = dispatch;
  }

  private createHandler(attempt: Attempt): AnswerHandler {
    const state = attempt;
    const { target } = attempt;
    return {
      onConnected: () => {
        state.writtenAtMs = this.dependencies.clock();
      },
      onHeaders: (status, headers) => {
        state.status = status;
        state.headers = headers;
        this.dependencies.pool.paths.recordAnswer(target);
        const metadata = this.dependencies.dialect.readResponse(headers);
        const isFramed = isFramedResponse(this.request.method, status, headers);
        // Without a length, a truncated response cannot be distinguished from a complete one.
        const verdict = classifyResponse(status, metadata, this.request.requestId);
        state.verdict = isFramed || verdict === 'not-run' ? verdict : 'spoiled';
        this.recordLoad(state, metadata);
        if (state.verdict !== 'spoiled') {
          this.dependencies.pool.paths.recordLoadReport(target, metadata.load !== undefined);
          this.dependencies.pool.limits.recordResponse(target, metadata.requestLimit, 'request');
          this.recordRest(state, status, metadata);
          this.dependencies.pool.notices.recordLeaving(target, metadata.isLeaving, 'request');
        }
        // Any further data on this connection may belong to another request.
        if (state.verdict === 'spoiled') {
          state.isAborted = true;
          state.dispatch?.abort({ kind: 'targetFailed', detail: isFramed ? 'not its answer' : 'no length' });
        }
      },
      onData: (chunk) => this.handleData(state, chunk),
      onEnd: () => this.listener.onEnded(state, undefined),
      onFailure: (failure) => this.listener.onEnded(state, failure),
    };
  }

  private recordRest({ target }: Attempt, status: number, { restMs }: ResponseMetadata): void {
    const { pool } = this.dependencies;
    if (!isRefusalStatus(status)) pool.notices.recordReturn(target);
    else if (restMs !== undefined) pool.notices.recordRest(target, restMs, 'request');
  }

  private recordLoad({ target, startedAtMs }: Attempt, { load }: ResponseMetadata): void {
    if (load === undefined) return;
    const state = target;
    const nowMs = this.dependencies.clock();
    if ((state.reading?.sentAtMs ?? -Infinity) > nowMs) return;
    // The target measured its load when it created the response, so after all earlier requests of
    // this entry.
    state.reading = { ...load, sentAtMs: Math.max(startedAtMs, nowMs - 1), atMs: nowMs };
  }

  private handleData(attempt: Attempt, chunk: Buffer): boolean {
    const state = attempt;
    // A target that is sending is not silent, although it may accept no connection for a probe.
    state.target.silentProbes = 0;
    const isWanted = this.forwarder.take(state, chunk, () => this.listener.mayStream(state));
    if (isWanted === undefined) {
      state.isAborted = true;
      state.dispatch?.abort({ kind: 'targetFailed', detail: 'its response is too long' });
    }
    return isWanted ?? false;
  }
}
