/** Consecutive silent probes after which a target is considered lost. */
const LOST_TARGET_PROBES = 2;
/** Multiple of the target latency after which a request is better moved to another target. */
const STUCK_FACTOR = 2.2;

/** What is known of an attempt that has no response yet. */
interface PendingAttempt {
  /** Time since the request was sent, in milliseconds. */
  readonly ageMs: number;
  /** Time until the deadline of the request, in milliseconds. */
  readonly remainingMs: number;
  readonly targetLatencyMs: number;
  /** Whether probes show that the target lives while all its slots are busy. */
  readonly answersProbesAtOnce: boolean;
  /** Consecutive probes of the target that ran into their timeout. */
  readonly silentProbes: number;
  /** Whether the request may be sent again, and another target has a free slot for it. */
  readonly canMove: boolean;
}

/**
 * Decides whether to stop waiting for a target that has not responded.
 *
 * Load pattern: targets take longer than usual, as all their slots are busy with long requests. A
 * probe that waits for a slot looks like one that nobody receives, so silence is no evidence unless
 * the target answers probes beside its work. A slow target is given up only for another one,
 * because an attempt that ends without a response helps no caller.
 *
 * @param attempt - the attempt
 * @returns why it is to be aborted, undefined to go on waiting
 */
export default function findAbandonReason(attempt: PendingAttempt): 'lost' | 'stuck' | undefined {
  const {
    ageMs, remainingMs, targetLatencyMs, answersProbesAtOnce, silentProbes, canMove,
  } = attempt;
  if (answersProbesAtOnce && silentProbes >= LOST_TARGET_PROBES) return 'lost';
  const isStuck = ageMs > STUCK_FACTOR * targetLatencyMs && remainingMs > targetLatencyMs;
  return isStuck && canMove ? 'stuck' : undefined;
}
