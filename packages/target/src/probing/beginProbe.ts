import probeBudget from './probeBudget';
import type ProbeLedger from './ProbeLedger';

/**
 * Starts a probe if the token bucket covers its maximum cost. The next probe may start only after
 * `finishProbe`.
 *
 * @param state - ledger of the target
 * @param slots - number of slots of the target
 * @param nowMs - current time of the monotonic clock
 * @returns whether the probe may be sent
 */
export default function beginProbe(state: ProbeLedger, slots: number, nowMs: number): boolean {
  const earnedMs = (nowMs - state.refilledAtMs) * slots * probeBudget.share;
  // The bucket holds one probe, so a target that needed none for long is not probed in a burst.
  state.availableMs = Math.min(probeBudget.timeoutMs, state.availableMs + earnedMs);
  state.refilledAtMs = nowMs;
  if (state.isProbing || state.availableMs < probeBudget.timeoutMs) return false;
  state.isProbing = true;
  state.probes += 1;
  return true;
}
