import probeBudget from './probeBudget';
import type ProbeLedger from './ProbeLedger';

/**
 * Charges the cost of a probe: its full duration, because it may have occupied a slot that long.
 *
 * @param state - ledger of the target
 * @param durationMs - duration of the probe in milliseconds
 */
export default function finishProbe(state: ProbeLedger, durationMs: number): void {
  const costMs = Math.max(durationMs, probeBudget.minCostMs);
  state.availableMs -= costMs;
  state.spentMs += costMs;
  state.isProbing = false;
}
