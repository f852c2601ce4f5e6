import type ConsensusState from './ConsensusState';
import drawElectionDeadline from './drawElectionDeadline';
import type ReplicaId from './ReplicaId';
import setLeader from './setLeader';
import setTerm from './setTerm';

/**
 * Becomes a follower in the current or a later term, and refuses all pending reads.
 *
 * @param state - the replica
 * @param term - the term
 * @param leader - the leader of the term, undefined if none is known
 */
export default function becomeFollower(
  state: ConsensusState,
  term: number,
  leader: ReplicaId | undefined,
): void {
  if (term > state.term) setTerm(state, term, undefined);
  if (state.role === 'leader') state.electionDeadlineMs = drawElectionDeadline(state);
  state.role = 'follower';
  state.votes.clear();
  state.progress.clear();
  state.joining = undefined;
  // Only leaders are told that replicas leave, and whether they have come back.
  [...state.leaving].filter((replica) => replica !== state.self)
    .forEach((replica) => state.leaving.delete(replica));
  state.reads.splice(0).forEach(({ token }) => state.outbox.push({ kind: 'refused', token }));
  setLeader(state, leader);
}
