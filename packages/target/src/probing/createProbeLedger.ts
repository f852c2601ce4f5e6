import type ProbeLedger from './ProbeLedger';

/**
 * Creates the ledger of a target with an empty token bucket, so that successive owners of a target
 * together spend no more than a single owner would.
 *
 * @param nowMs - current time of the monotonic clock
 * @returns the ledger
 */
export default function createProbeLedger(nowMs: number): ProbeLedger {
  return {
    startedAtMs: nowMs,
    availableMs: 0,
    refilledAtMs: nowMs,
    spentMs: 0,
    probes: 0,
    isProbing: false,
  };
}
