import type ConsensusState from './ConsensusState';
import type ReplicaId from './ReplicaId';

/**
 * @param state - the replica
 * @returns all other members, voters first
 */
export default function findPeers(state: ConsensusState): ReplicaId[] {
  const { voters, learners } = state.members;
  return [...voters, ...learners].filter((member) => member !== state.self);
}
