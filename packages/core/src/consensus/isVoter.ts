import type ConsensusState from './ConsensusState';

/**
 * Returns whether the replica is a voter of its group.
 *
 * @param state - the replica
 * @returns true if the replica may stand for election
 */
export default function isVoter(state: ConsensusState): boolean {
  return state.members.voters.includes(state.self);
}
