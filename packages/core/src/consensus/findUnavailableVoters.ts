import type ConsensusState from './ConsensusState';
import isSilent from './isSilent';
import type ReplicaId from './ReplicaId';

/**
 * Lists the voters that are leaving or have not responded for some time.
 *
 * @param state - the leader
 * @returns those voters, in the order of the members
 */
export default function findUnavailableVoters(state: ConsensusState): ReplicaId[] {
  return state.members.voters
    .filter((voter) => state.leaving.has(voter) || isSilent(state, voter));
}
