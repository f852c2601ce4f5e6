import type ProbeLedger from './ProbeLedger';

/**
 * Computes what share of a target's slot time probes have taken since its ledger was created.
 *
 * @param state - ledger of the target
 * @param slots - number of slots of the target
 * @param nowMs - current time of the monotonic clock
 * @returns the share, 0 if no time has passed
 */
export default function measureShare(
  state: ProbeLedger,
  slots: number,
  nowMs: number,
): number {
  const elapsedMs = nowMs - state.startedAtMs;
  return elapsedMs <= 0 ? 0 : state.spentMs / (slots * elapsedMs);
}
