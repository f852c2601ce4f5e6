import type Failure from '@guavayard/core/errors/Failure';
import recordOutcome from '@guavayard/core/placement/recordOutcome';
import recordRejection from '@guavayard/core/placement/recordRejection';

import type Attempt from './Attempt';
import describeAttempt from './describeAttempt';
import type ExchangeDependencies from './ExchangeDependencies';
import type GatewayRequest from './GatewayRequest';

type Verdict = NonNullable<Attempt['verdict']>;

interface DescribedAttempt {
  readonly startedAtMs: number;
  readonly line: ReturnType<typeof describeAttempt>;
}

/** Records what the attempts of a request tell of their targets, and describes them for the log. */
export default class OutcomeRecorder {
  private readonly described: DescribedAttempt[] = [];

  constructor(
    private readonly dependencies: Pick<ExchangeDependencies, 'clock' | 'log' | 'pool' | 'crashes'>,
    private readonly request: Pick<GatewayRequest, 'service' | 'fingerprint'>,
  ) {}

  /** Descriptions of the attempts that have ended, in the order in which they were sent. */
  get lines(): ReturnType<typeof describeAttempt>[] {
    return [...this.described].sort((a, b) => a.startedAtMs - b.startedAtMs)
      .map(({ line }) => line);
  }

  /**
   * Records an attempt that has ended.
   *
   * @param attempt - the attempt
   * @param verdict - its classification
   * @param failure - why it failed; undefined if its response is complete
   */
  record(attempt: Attempt, verdict: Verdict, failure: Failure | undefined): void {
    const { clock, log, pool } = this.dependencies;
    const { target } = attempt;
    const nowMs = clock();
    const hasFailed = verdict !== 'answered' && verdict !== 'not-run';
    const isPathLost = pool.paths.connections.areRefused
      || pool.paths.reachability.isUnreachable(this.request.service);
    if (!isPathLost && recordOutcome(target, hasFailed, nowMs)) {
      log.logEvent({ target: target.record.id, forMs: target.ejectedUntilMs - nowMs }, 'target ejected');
    }
    recordRejection(target, verdict === 'not-run', nowMs);
    this.describe(attempt, verdict, failure);
    this.reportToCrashDetection(attempt, verdict, failure);
  }

  /** Describes an attempt that another one has superseded, which tells nothing of its target. */
  recordSuperseded(attempt: Attempt): void {
    this.describe(attempt, 'spoiled', undefined);
  }

  private describe(attempt: Attempt, verdict: Verdict, failure: Failure | undefined): void {
    const line = describeAttempt(attempt, verdict, failure, this.dependencies.clock());
    this.described.push({ startedAtMs: attempt.startedAtMs, line });
  }

  /** Reports the end of an attempt to crash detection: a broken-off request may be a crash. */
  private reportToCrashDetection(
    attempt: Attempt,
    verdict: Verdict,
    failure: Failure | undefined,
  ): void {
    const { clock, crashes } = this.dependencies;
    const { fingerprint } = this.request;
    // A target that did not run the request gives no evidence either way.
    if (verdict === 'not-run') return;
    const isBroken = failure?.kind === 'targetFailed' && !attempt.isAborted;
    if (isBroken) {
      const { target, startedAtMs } = attempt;
      const run = {
        fingerprint, targetId: target.record.id, startedAtMs, brokenAtMs: clock(),
      };
      crashes.checkForCrash(run, target);
      return;
    }
    if (failure === undefined && verdict !== 'spoiled') crashes.recordResponse(fingerprint);
  }
}
