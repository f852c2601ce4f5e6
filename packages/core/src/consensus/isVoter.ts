import type ConsensusState from './ConsensusState';

/**
 * @param state - the replica
 * @returns true if the replica may vote and lead
 */
export default function isVoter(state: ConsensusState): boolean {
  return state.members.voters.includes(state.self);
}
