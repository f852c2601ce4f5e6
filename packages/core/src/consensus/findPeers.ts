import type ConsensusState from './ConsensusState';
import type ReplicaId from './ReplicaId';

/**
 * Lists the members to which a leader replicates.
 *
 * @param state - the replica
 * @returns all members except the replica itself, voters first
 */
export default function findPeers(state: ConsensusState): ReplicaId[] {
  const { voters, learners } = state.members;
  return [...voters, ...learners].filter((member) => member !== state.self);
}
