import type ConsensusState from './ConsensusState';
import isSilent from './isSilent';
import type ReplicaId from './ReplicaId';

/**
 * Lists the voters and learners that have not responded to this replica for some time.
 *
 * @param state - the replica
 * @returns those members, voters first; none unless this replica leads
 */
export default function findSilentMembers(state: ConsensusState): ReplicaId[] {
  if (state.role !== 'leader') return [];
  const { voters, learners } = state.members;
  return [...voters, ...learners].filter((member) => isSilent(state, member));
}
