import type ConsensusState from './ConsensusState';
import timing from './timing';

/**
 * Draws a random election timeout, which is shorter where there is no leader to wait for: while the
 * replica starts up, and after the leader has been removed.
 *
 * @param state - the replica
 * @param isLeaderRemoved - whether the leader has just been removed
 * @returns when it starts an election unless a leader contacts it, in milliseconds
 */
export default function drawElectionDeadline(
  state: ConsensusState,
  isLeaderRemoved = false,
): number {
  const isStarting = !state.hasSeenLeader
    && state.nowMs - state.startedAtMs < timing.startPhaseMs;
  const isShort = isStarting || isLeaderRemoved;
  const minMs = isShort ? timing.startMinMs : timing.electionMinMs;
  const maxMs = isShort ? timing.startMaxMs : timing.electionMaxMs;
  return state.nowMs + minMs + state.random() * (maxMs - minMs);
}
