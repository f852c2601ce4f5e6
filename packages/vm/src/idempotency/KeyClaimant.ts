import { Ok, type Result } from 'ts-results';

import fail from '@guavayard/core/errors/fail';
import type Failure from '@guavayard/core/errors/Failure';
import type KeyDecision from '@guavayard/core/idempotency/KeyDecision';
import type StoredAnswer from '@guavayard/core/idempotency/StoredAnswer';
import type Clock from '@guavayard/core/types/Clock';

const MIN_RETRY_DELAY_MS = 10;
const MAX_RETRY_DELAY_MS = 200;
/** Longest wait of a request while no owner decides its key. */
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

/** Retries one claim until its owner decides it or its deadline passes. */
export default class KeyClaimant {
  private timer: NodeJS.Timeout | undefined;

  private retryDelayMs = MIN_RETRY_DELAY_MS;

  private isDecided = false;

  private isJoined = false;

  private readonly undecidedDeadlineMs: number;

  /**
   * @param clock - monotonic clock
   * @param deadlineMs - time at which the caller needs a response, in milliseconds of `clock`
   * @param sendClaim - sends the claim to the owner of the key
   * @param onDecision - called once, with the decision or the failure to get one
   */
  constructor(
    private readonly clock: Clock,
    private readonly deadlineMs: number,
    private readonly sendClaim: () => void,
    private readonly onDecision: OnDecision,
  ) {
    this.undecidedDeadlineMs = Math.min(deadlineMs, clock() + MAX_UNDECIDED_MS);
  }

  /** Sends the claim, and retries with exponential backoff until it is decided. */
  start(): void {
    if (this.isDecided) return;
    const untilMs = this.isJoined ? this.deadlineMs : this.undecidedDeadlineMs;
    if (this.clock() >= untilMs) {
      this.decide(fail(this.isJoined ? 'keyOutcomeUnknown' : 'keyUnavailable'));
      return;
    }
    this.timer = setTimeout(() => this.start(), this.retryDelayMs);
    this.retryDelayMs = Math.min(this.retryDelayMs * 2, MAX_RETRY_DELAY_MS);
    this.sendClaim();
  }

  /**
   * Handles a response of the owner. Responses after the final decision are ignored.
   *
   * @param decision - the owner's decision, which may be a provisional one
   */
  handleDecision(decision: KeyDecision): void {
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
