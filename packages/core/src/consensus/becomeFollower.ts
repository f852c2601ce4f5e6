import type ConsensusState from './ConsensusState';
import drawElectionDue from './drawElectionDue';
import type ReplicaId from './ReplicaId';
import setLeader from './setLeader';
import setTerm from './setTerm';

/**
 * Follows a leader, or nobody yet, in a term that is at least the current one.
 *
 * @param state - the replica
 * @param term - the term
 * @param leader - its leader, undefined if none is known
 */
export default function becomeFollower(
  state: ConsensusState,
  term: number,
  leader: ReplicaId | undefined,
): void {
  if (term > state.term) setTerm(state, term, undefined);
  if (state.role === 'leader') state.electionDueMs = drawElectionDue(state);
  state.role = 'follower';
  state.votes.clear();
  state.progress.clear();
  state.joining = undefined;
  state.reads.splice(0).forEach(({ token }) => state.outbox.push({ kind: 'refused', token }));
  setLeader(state, leader);
}
