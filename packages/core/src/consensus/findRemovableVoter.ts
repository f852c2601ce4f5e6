import type ConsensusState from './ConsensusState';
import findUnavailableVoters from './findUnavailableVoters';
import type ReplicaId from './ReplicaId';

/**
 * Finds a voter without which the group survives at least as many losses as with it.
 *
 * One that leaves is removed before it ends, because the next leader would not know that it left.
 * One that is silent may come back, so it is removed only if the group gains by that: an even group
 * gains from the removal of one that is gone, because its quorum shrinks, an odd one from two.
 *
 * @param state - the leader
 * @returns the voter to remove, undefined if the group is to keep all of them
 */
export default function findRemovableVoter(state: ConsensusState): ReplicaId | undefined {
  const { members: { voters }, requiredVoters } = state;
  if (voters.length <= requiredVoters) return undefined;
  const leaving = voters.find((voter) => state.leaving.has(voter));
  if (leaving !== undefined) return leaving;
  const unavailable = findUnavailableVoters(state);
  const minUnavailable = voters.length % 2 === 0 ? 1 : 2;
  return unavailable.length < minUnavailable ? undefined : unavailable[0];
}
