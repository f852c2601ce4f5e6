import type ConsensusState from './ConsensusState';
import timing from './timing';

/**
 * @param state - the replica
 * @returns when it starts an election if it hears of no leader, in milliseconds
 */
export default function drawElectionDue(state: ConsensusState): number {
  const { electionMinMs, electionMaxMs } = timing;
  return state.nowMs + electionMinMs + state.random() * (electionMaxMs - electionMinMs);
}
