import type ProbeLedger from './ProbeLedger';

/**
 * Starts the ledger of a target with nothing saved, so that owners which follow each other spend no
 * more than one.
 *
 * @param nowMs - monotonic clock
 * @returns the ledger
 */
export default function createProbeLedger(nowMs: number): ProbeLedger {
  return {
    startedAtMs: nowMs, savedMs: 0, savedAtMs: nowMs, spentMs: 0, probes: 0, isProbing: false,
  };
}
