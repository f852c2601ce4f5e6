import { Ok, type Result } from 'ts-results';

import fail from '@guavayard/core/errors/fail';
import type Failure from '@guavayard/core/errors/Failure';
import type KeyDecision from '@guavayard/core/idempotency/KeyDecision';
import type StoredAnswer from '@guavayard/core/idempotency/StoredAnswer';
import type Clock from '@guavayard/core/types/Clock';

const MIN_INTERVAL_MS = 10;
const MAX_INTERVAL_MS = 200;
/** Longest time for which a key that no owner decides keeps its request waiting. */
const MAX_UNDECIDED_MS = 5000;

type OnDecision = (decision: Result<StoredAnswer | undefined, Failure>) => void;

function toResult(decision: KeyDecision): Result<StoredAnswer | undefined, Failure> | undefined {
  if (decision.kind === 'granted') return Ok(undefined);
  if (decision.kind === 'answered') return Ok(decision.answer);
  if (decision.kind === 'answerNotStored') return fail('answerNotStored');
  if (decision.kind === 'conflict') return fail('keyConflict');
  if (decision.kind === 'unknown') return fail('keyOutcomeUnknown');
  if (decision.kind === 'full') return fail('keyUnavailable', 'too many keys are remembered');
  return undefined;
}

/** Asks for the decision of one claim until there is one or no time is left. */
export default class KeyClaimant {
  private timer: NodeJS.Timeout | undefined;

  private intervalMs = MIN_INTERVAL_MS;

  private isDecided = false;

  private isJoined = false;

  private readonly undecidedUntilMs: number;

  /**
   * @param clock - monotonic clock
   * @param deadlineMs - moment at which the caller has to be answered
   * @param ask - sends the claim to the owner of the key
   * @param onDecision - called once
   */
  constructor(
    private readonly clock: Clock,
    private readonly deadlineMs: number,
    private readonly ask: () => void,
    private readonly onDecision: OnDecision,
  ) {
    this.undecidedUntilMs = Math.min(deadlineMs, clock() + MAX_UNDECIDED_MS);
  }

  /** Sends the claim, and again until it is decided. */
  start(): void {
    if (this.isDecided) return;
    const untilMs = this.isJoined ? this.deadlineMs : this.undecidedUntilMs;
    if (this.clock() >= untilMs) {
      this.decide(fail(this.isJoined ? 'keyOutcomeUnknown' : 'keyUnavailable'));
      return;
    }
    this.timer = setTimeout(() => this.start(), this.intervalMs);
    this.intervalMs = Math.min(this.intervalMs * 2, MAX_INTERVAL_MS);
    this.ask();
  }

  /**
   * Takes what an owner has decided. What comes after the decision is left.
   *
   * @param decision - the decision
   */
  take(decision: KeyDecision): void {
    if (decision.kind === 'joined') this.isJoined = true;
    const result = toResult(decision);
    if (result !== undefined) this.decide(result);
  }

  private decide(decision: Result<StoredAnswer | undefined, Failure>): void {
    if (this.isDecided) return;
    this.isDecided = true;
    clearTimeout(this.timer);
    this.onDecision(decision);
  }
}
