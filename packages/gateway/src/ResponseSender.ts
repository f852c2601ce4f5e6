import type CallerReply from '@guavayard/core/dispatch/CallerReply';
import errorTable from '@guavayard/core/errors/errorTable';
import type Failure from '@guavayard/core/errors/Failure';

import type Attempt from './Attempt';
import type ExchangeDependencies from './ExchangeDependencies';
import type GatewayRequest from './GatewayRequest';
import type HedgeController from './HedgeController';
import type OutcomeRecorder from './OutcomeRecorder';
import type RelayHandover from './RelayHandover';
import type ResponseForwarder from './ResponseForwarder';

interface ResponseSenderOptions {
  readonly dependencies: Pick<ExchangeDependencies, 'clock' | 'log'>;
  readonly request: GatewayRequest;
  readonly reply: CallerReply;
  readonly forwarder: ResponseForwarder;
  readonly outcomes: OutcomeRecorder;
  readonly handover: RelayHandover;
  readonly hedges: HedgeController;
  /** Called once, before the line of the request is logged. */
  readonly onEnd: () => void;
}

/** Sends the only response of one request to its caller, and logs the request. */
export default class ResponseSender {
  /** Whether the exchange has ended. */
  isEnded = false;

  /** Whether an attempt may have run, so that the response must not state that none has. */
  mayHaveRun = false;

  constructor(private readonly options: ResponseSenderOptions) {}

  /** Forwards the target's response, which has failed if the rest of it is lost. */
  forward(attempt: Attempt, failure: Failure | undefined): void {
    this.options.forwarder.complete(attempt, failure !== undefined);
    this.finish(attempt.verdict === 'answered' ? 'answered' : 'target failed', attempt.status ?? 0);
  }

  /**
   * Responds with a failure.
   *
   * @param failure - the failure; it is reported as one of the target if an attempt may have run
   * @param retryAfterMs - delay before the caller may retry, in milliseconds
   */
  refuse(failure: Failure, retryAfterMs: number | undefined): void {
    if (this.isEnded) return;
    const isNotRun = (failure.outcome ?? errorTable[failure.kind].outcome) === 'not-run';
    const reported: Failure = isNotRun && this.mayHaveRun ? { kind: 'targetFailed', detail: failure.detail } : failure;
    const reportedRetryAfterMs = reported === failure ? retryAfterMs : undefined;
    const status = this.options.reply.refuse(reported, reportedRetryAfterMs);
    this.finish(reported.kind, status, reported.detail, reportedRetryAfterMs);
  }

  /**
   * Ends the exchange and logs it.
   *
   * @param decision - what was decided
   * @param status - status of the response, 0 without one
   * @param detail - reason of the decision
   * @param retryAfterMs - delay that the caller was told, in milliseconds
   */
  finish(decision: string, status: number, detail?: string, retryAfterMs?: number): void {
    const {
      request, dependencies, outcomes, handover, hedges, onEnd,
    } = this.options;
    this.isEnded = true;
    onEnd();
    dependencies.log.write({
      requestId: request.requestId,
      route: request.routeName,
      service: request.service,
      version: request.version,
      attempts: outcomes.lines,
      ...(handover.line === undefined ? {} : { relay: handover.line }),
      ...(request.relayedBy === undefined ? {} : { relayedBy: request.relayedBy }),
      ...(hedges.outcome === undefined ? {} : { hedge: hedges.outcome }),
      decision,
      ...(detail === undefined || detail === '' ? {} : { detail }),
      status,
      ...(retryAfterMs === undefined ? {} : { retryAfterMs: Math.round(retryAfterMs) }),
      ms: Math.round(dependencies.clock() - request.arrivedAtMs),
    });
  }
}
