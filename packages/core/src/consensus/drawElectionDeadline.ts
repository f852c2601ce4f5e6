import type ConsensusState from './ConsensusState';
import timing from './timing';

/**
 * Draws a random election timeout, which is shorter while the replica starts up.
 *
 * @param state - the replica
 * @returns when it starts an election unless a leader contacts it, in milliseconds
 */
export default function drawElectionDeadline(state: ConsensusState): number {
  const isStarting = !state.hasSeenLeader
    && state.nowMs - state.startedAtMs < timing.startPhaseMs;
  const minMs = isStarting ? timing.startMinMs : timing.electionMinMs;
  const maxMs = isStarting ? timing.startMaxMs : timing.electionMaxMs;
  return state.nowMs + minMs + state.random() * (maxMs - minMs);
}
