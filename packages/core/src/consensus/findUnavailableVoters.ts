import type ConsensusState from './ConsensusState';
import type ReplicaId from './ReplicaId';
import timing from './timing';

/**
 * Lists the voters that are leaving or have not responded for some time.
 *
 * @param state - the leader
 * @returns those voters, in the order of the members
 */
export default function findUnavailableVoters(state: ConsensusState): ReplicaId[] {
  return state.members.voters.filter((voter) => {
    if (state.leaving.has(voter)) return true;
    if (voter === state.self) return false;
    const lastContactAtMs = state.progress.get(voter)?.lastContactAtMs ?? state.nowMs;
    return state.nowMs - lastContactAtMs >= timing.lostVoterMs;
  });
}
