import type ProbeLedger from './ProbeLedger';

/**
 * @param state - the ledger of the target
 * @param slots - slots of the target
 * @param nowMs - monotonic clock
 * @returns the share of the target's slot time that probes have taken
 */
export default function measureShare(state: ProbeLedger, slots: number, nowMs: number): number {
  const elapsedMs = nowMs - state.startedAtMs;
  return elapsedMs <= 0 ? 0 : state.spentMs / (slots * elapsedMs);
}
