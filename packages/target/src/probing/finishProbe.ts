import probeBudget from './probeBudget';
import type ProbeLedger from './ProbeLedger';

/**
 * Books the cost of a probe: all the time that it took, for it may have held a slot so long.
 *
 * @param state - the ledger of the target
 * @param durationMs - how long the probe took
 */
export default function finishProbe(state: ProbeLedger, durationMs: number): void {
  const costMs = Math.max(durationMs, probeBudget.minCostMs);
  state.savedMs -= costMs;
  state.spentMs += costMs;
  state.isProbing = false;
}
