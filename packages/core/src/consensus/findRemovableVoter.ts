import type ConsensusState from './ConsensusState';
import findUnavailableVoters from './findUnavailableVoters';
import type ReplicaId from './ReplicaId';

/**
 * Finds an unavailable voter without which the group survives more losses than with it.
 *
 * A group of an even number of voters gains from the removal of one that is gone, because its
 * quorum shrinks. An odd group gains only from the removal of two.
 *
 * @param state - the leader
 * @returns the voter to remove, undefined if the group is to keep all of them
 */
export default function findRemovableVoter(state: ConsensusState): ReplicaId | undefined {
  const { members: { voters }, requiredVoters } = state;
  if (voters.length <= requiredVoters) return undefined;
  const unavailable = findUnavailableVoters(state);
  const minUnavailable = voters.length % 2 === 0 ? 1 : 2;
  return unavailable.length < minUnavailable ? undefined : unavailable[0];
}
