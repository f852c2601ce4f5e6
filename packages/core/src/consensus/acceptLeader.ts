import becomeFollower from './becomeFollower';
import type ConsensusState from './ConsensusState';
import drawElectionDue from './drawElectionDue';
import type ReplicaId from './ReplicaId';

/**
 * Takes note of a message from the leader of a term that is at least the current one.
 *
 * @param state - the replica
 * @param from - the leader
 * @param term - its term
 */
export default function acceptLeader(state: ConsensusState, from: ReplicaId, term: number): void {
  if (term > state.term || state.role !== 'follower' || state.leader !== from) {
    becomeFollower(state, term, from);
  }
  state.leaderHeardAtMs = state.nowMs;
  state.electionDueMs = drawElectionDue(state);
}
