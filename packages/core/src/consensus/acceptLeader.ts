import becomeFollower from './becomeFollower';
import type ConsensusState from './ConsensusState';
import drawElectionDeadline from './drawElectionDeadline';
import type ReplicaId from './ReplicaId';

/**
 * Follows the sender of a leader message of the current or a later term, and restarts the election
 * timeout.
 *
 * @param state - the replica
 * @param from - the leader
 * @param term - the term of the leader
 */
export default function acceptLeader(state: ConsensusState, from: ReplicaId, term: number): void {
  if (term > state.term || state.role !== 'follower' || state.leader !== from) {
    becomeFollower(state, term, from);
  }
  state.lastLeader = from;
  state.leaderContactAtMs = state.nowMs;
  state.electionDeadlineMs = drawElectionDeadline(state);
}
