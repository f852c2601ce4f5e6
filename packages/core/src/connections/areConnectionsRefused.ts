import type ConnectionEvidence from './ConnectionEvidence';
import connectionLimits from './connectionLimits';

/**
 * Returns whether this entry seems unable to open connections to any target.
 *
 * Load pattern: an entry can open no connections any more, while those that are open live on. Their
 * answers hide it, and each request that finds none of them free fails on a new one.
 *
 * @param state - the evidence
 * @param nowMs - monotonic clock
 * @returns true if new connections to several targets failed and none has worked since
 */
export default function areConnectionsRefused(state: ConnectionEvidence, nowMs: number): boolean {
  const { minRefusingTargets, refusalMemoryMs } = connectionLimits;
  return state.refusedInARow.size >= minRefusingTargets
    && nowMs - state.lastRefusalAtMs <= refusalMemoryMs;
}
