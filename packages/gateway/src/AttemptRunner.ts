import type ReplayableBody from '@guavayard/caller/ReplayableBody';
import type Failure from '@guavayard/core/errors/Failure';
import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';

import type Attempt from './Attempt';
import AttemptSender from './AttemptSender';
import AttemptWatchdog from './AttemptWatchdog';
import createAttempt from './createAttempt';
import type ExchangeDependencies from './ExchangeDependencies';
import type GatewayRequest from './GatewayRequest';
import HedgeController from './HedgeController';
import isNotRunStatus from './isNotRunStatus';
import type OutcomeRecorder from './OutcomeRecorder';
import type ResponseForwarder from './ResponseForwarder';
import type RetryRules from './RetryRules';

/**
 * Time for which an attempt counts as running on its target after it was aborted in favour of
 * another one, in milliseconds: the target may notice it late. A newer reading replaces it.
 */
const SUPERSEDED_HOLD_MS = 100;

interface AttemptRunnerOptions {
  readonly dependencies: ExchangeDependencies;
  readonly request: GatewayRequest;
  readonly body: ReplayableBody;
  readonly forwarder: ResponseForwarder;
  readonly outcomes: OutcomeRecorder;
  readonly rules: RetryRules;
  /** Ids of the targets of all attempts, to which each attempt adds its own. */
  readonly triedIds: string[];
  /** Called when an attempt has ended, unless another one has superseded it. */
  readonly onEnded: (attempt: Attempt, failure: Failure | undefined) => void;
}

/** Runs the attempts of one request: one at a time, or two while the first is late. */
export default class AttemptRunner {
  readonly hedges: HedgeController;

  /** Attempts that have not ended, in the order in which they were sent. */
  private readonly running = new Set<Attempt>();

  private readonly sender: AttemptSender;

  private readonly watchdog: AttemptWatchdog;

  constructor(private readonly options: AttemptRunnerOptions) {
    const {
      dependencies, request, forwarder, triedIds, rules,
    } = options;
    this.sender = new AttemptSender(dependencies, request, forwarder, {
      mayStream: (attempt) => this.mayStream(attempt),
      onEnded: (attempt, failure) => this.finish(attempt, failure),
    });
    this.watchdog = new AttemptWatchdog(dependencies, request, {
      canMove: () => this.running.size === 1 && rules.canMove(() => this.watchdog.checkAgain()),
      onAbandoned: (attempt, detail) => AttemptRunner.abandon(attempt, detail),
    });
    this.hedges = new HedgeController({ dependencies, request, triedIds }, {
      findLimit: () => rules.findHedgeLimit(),
      onPlaced: (target, release) => {
        // The key may have been taken away while the first attempt runs.
        if (dependencies.keys.findRefusal(request) === undefined) this.run(target, release);
        else release();
      },
    });
  }

  /** Whether an attempt is running. */
  get isRunning(): boolean {
    return this.running.size > 0;
  }

  /** The running attempt that is not a hedge. */
  get first(): Attempt | undefined {
    return [...this.running].find(({ isHedge }) => !isHedge);
  }

  /**
   * Sends the request to a target: beside the running attempt, if there is one.
   *
   * @param target - the target
   * @param release - frees the slot that is held on it
   */
  run(target: PlacedTarget, release: Attempt['release']): void {
    const {
      dependencies: { clock, sender }, request, body, triedIds,
    } = this.options;
    const isNewConnection = sender.countReady(target.record.address) === 0;
    const isHedge = this.isRunning;
    const attempt = createAttempt(target, release, isNewConnection, isHedge, clock());
    this.running.add(attempt);
    triedIds.push(target.record.id);
    request.quota?.recordSent();
    this.sender.send(attempt, isHedge ? body.openCopy() : body.open());
    if (attempt.isOver || isHedge) return;
    this.watchdog.start(attempt);
    this.hedges.start(attempt);
  }

  /** Resumes responses that were paused. */
  resume(): void {
    this.running.forEach(({ dispatch }) => dispatch?.resume());
  }

  /** Aborts the running attempts. */
  abort(reason: Failure): void {
    [...this.running].forEach(({ dispatch }) => dispatch?.abort(reason));
  }

  /** Stops watching the running attempts. */
  stop(): void {
    this.watchdog.stop();
    this.hedges.stop();
  }

  /** Waits for the other attempt after one has ended, which the watchdog may have watched. */
  awaitOther(): void {
    const [other] = this.running;
    if (other !== undefined) this.watchdog.start(other);
  }

  /**
   * Aborts all attempts but the one whose response the caller gets.
   *
   * @param winner - that attempt, which may have ended
   */
  supersedeOthers(winner: Attempt): void {
    this.hedges.recordWinner(winner);
    [...this.running].filter((attempt) => attempt !== winner).forEach((attempt) => {
      const state = attempt;
      state.isSuperseded = true;
      state.isAborted = true;
      this.options.outcomes.recordSuperseded(state);
      state.dispatch?.abort({ kind: 'targetFailed', detail: 'superseded' });
    });
  }

  private static abandon(attempt: Attempt, detail: string): void {
    const state = attempt;
    state.isAborted = true;
    state.dispatch?.abort({ kind: 'targetFailed', detail });
  }

  /** Whether a response may be sent to the caller before it is complete. */
  private mayStream(attempt: Attempt): boolean {
    if (attempt.verdict === 'answered') {
      this.supersedeOthers(attempt);
      return true;
    }
    return attempt.verdict === 'failed' && !isNotRunStatus(attempt.status ?? 0)
      && this.running.size === 1 && !this.options.rules.canRetry('failed');
  }

  private finish(attempt: Attempt, failure: Failure | undefined): void {
    const state = attempt;
    if (state.isOver) return;
    state.isOver = true;
    state.dispatch = undefined;
    this.running.delete(state);
    if (!state.isSuperseded) {
      this.options.onEnded(state, failure);
      return;
    }
    this.options.forwarder.release(state);
    setTimeout(() => state.release(), SUPERSEDED_HOLD_MS);
  }
}
