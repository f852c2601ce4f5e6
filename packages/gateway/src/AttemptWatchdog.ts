import findAbandonReason from '@guavayard/core/placement/findAbandonReason';

import type Attempt from './Attempt';
import type ExchangeDependencies from './ExchangeDependencies';
import type GatewayRequest from './GatewayRequest';

/** Interval between checks of a slow attempt, in milliseconds. */
const CHECK_INTERVAL_MS = 300;

interface AttemptWatchdogListener {
  /** Returns whether an attempt without a response can be replaced by one on another target. */
  readonly canMove: () => boolean;
  /** Called with the reason when an attempt is not worth waiting for any more. */
  readonly onAbandoned: (attempt: Attempt, detail: string) => void;
}

/** Checks a slow attempt periodically: its target may be lost without closing the connection. */
export default class AttemptWatchdog {
  private timer: NodeJS.Timeout | undefined;

  private attempt: Attempt | undefined;

  constructor(
    private readonly dependencies: Pick<ExchangeDependencies, 'clock' | 'pool' | 'prober'>,
    private readonly request: Pick<GatewayRequest, 'service' | 'route' | 'deadlineMs'>,
    private readonly listener: AttemptWatchdogListener,
  ) {}

  /** Watches an attempt from the target latency of its route on. */
  start(attempt: Attempt): void {
    this.attempt = attempt;
    this.schedule(attempt, this.request.route.targetLatencyMs);
  }

  stop(): void {
    clearTimeout(this.timer);
    this.attempt = undefined;
  }

  /** Checks the attempt at once, as it may be possible to move it now. */
  checkAgain(): void {
    if (this.attempt !== undefined) this.check(this.attempt);
  }

  private schedule(attempt: Attempt, delayMs: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.check(attempt), delayMs);
  }

  private check(attempt: Attempt): void {
    if (attempt.isOver) return;
    const { clock, pool, prober } = this.dependencies;
    const { service, route: { targetLatencyMs }, deadlineMs } = this.request;
    const nowMs = clock();
    const answersProbesAtOnce = pool.paths.answersProbesAtOnce(service) === true;
    const reason = findAbandonReason({
      ageMs: nowMs - attempt.startedAtMs,
      remainingMs: deadlineMs - nowMs,
      targetLatencyMs,
      answersProbesAtOnce,
      silentProbes: attempt.target.silentProbes,
      // The caller has begun to receive the response, which no other target can go on with.
      canMove: !attempt.isForwarding && this.listener.canMove(),
    });
    if (reason !== undefined) {
      const detail = reason === 'lost' ? 'the target is silent' : 'no answer for too long';
      this.listener.onAbandoned(attempt, detail);
      return;
    }
    if (answersProbesAtOnce) prober.probe([attempt.target], () => undefined);
    this.schedule(attempt, CHECK_INTERVAL_MS);
  }
}
