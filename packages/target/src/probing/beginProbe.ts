import probeBudget from './probeBudget';
import type ProbeLedger from './ProbeLedger';

/**
 * Begins a probe if as much is saved as it can cost at most. Another may begin only after
 * `finishProbe`.
 *
 * @param state - the ledger of the target
 * @param slots - slots of the target
 * @param nowMs - monotonic clock
 * @returns whether the probe may be sent
 */
export default function beginProbe(state: ProbeLedger, slots: number, nowMs: number): boolean {
  const earnedMs = (nowMs - state.savedAtMs) * slots * probeBudget.share;
  // No more than one probe is saved for: a target that was heard for long is not probed in a burst.
  state.savedMs = Math.min(probeBudget.timeoutMs, state.savedMs + earnedMs);
  state.savedAtMs = nowMs;
  if (state.isProbing || state.savedMs < probeBudget.timeoutMs) return false;
  state.isProbing = true;
  state.probes += 1;
  return true;
}
