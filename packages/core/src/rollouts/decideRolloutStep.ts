import findSwitchTime from './findSwitchTime';
import planRollout from './planRollout';
import type Rollout from './Rollout';

/** What the leader knows of a roll-out that is under way. */
interface RolloutSituation {
  readonly rollout: Pick<Rollout, 'durationMs' | 'phase'>;
  /** Largest share of the requests that a bad version may get, from 0 to 1. */
  readonly maxShare: number;
  /** Time since the order, in milliseconds. */
  readonly elapsedMs: number;
  readonly isBad: boolean;
  readonly isGood: boolean;
  /** Requests of callers to the service, and those sent to the target version, since the order. */
  readonly traffic: { readonly requests: number; readonly sent: number };
  /** Whether every entry sends nothing more to base versions and has nothing in flight there. */
  readonly isDrained: boolean;
}

/** Next step of a roll-out, with the reason of a roll-back. */
type RolloutStep = { readonly kind: 'switch'; readonly afterMs: number }
  | { readonly kind: 'complete' }
  | { readonly kind: 'rollBack'; readonly reason: 'bad' | 'no verdict' };

/**
 * Decides on the next step of a roll-out. The phases depend on the time since the order, so another
 * leader goes on where the last one was.
 *
 * @param situation - the roll-out and what was counted
 * @returns the step that is due, undefined if there is none yet
 */
export default function decideRolloutStep({
  rollout: { durationMs, phase }, maxShare, elapsedMs, isBad, isGood, traffic, isDrained,
}: RolloutSituation): RolloutStep | undefined {
  if (isBad) return { kind: 'rollBack', reason: 'bad' };
  const plan = planRollout(durationMs, maxShare);
  if (phase === 'switching') {
    // The version was judged to be good before the switch, so no further verdict is needed.
    return isDrained || elapsedMs >= plan.completeAtMs ? { kind: 'complete' } : undefined;
  }
  if (elapsedMs >= durationMs) return { kind: 'rollBack', reason: 'no verdict' };
  if (elapsedMs < plan.decideAtMs || !isGood) return undefined;
  const switchAtMs = findSwitchTime(durationMs, maxShare, elapsedMs, traffic);
  // The switch is announced for a time, which is decided as late as it can be.
  const leadMs = plan.switchAtMs - plan.decideAtMs;
  if (elapsedMs < switchAtMs - leadMs) return undefined;
  return { kind: 'switch', afterMs: Math.max(0, switchAtMs - elapsedMs) };
}
