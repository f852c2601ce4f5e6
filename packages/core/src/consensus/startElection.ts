import becomeLeader from './becomeLeader';
import type ConsensusState from './ConsensusState';
import drawElectionDeadline from './drawElectionDeadline';
import isQuorum from './isQuorum';
import requestVotes from './requestVotes';
import setTerm from './setTerm';

/**
 * Becomes a candidate in the next term and requests votes.
 *
 * @param state - a pre-candidate to which a quorum has granted its pre-vote
 */
export default function startElection(state: ConsensusState): void {
  setTerm(state, state.term + 1, state.self);
  state.role = 'candidate';
  state.votes = new Set([state.self]);
  state.electionDeadlineMs = drawElectionDeadline(state);
  if (isQuorum(state.members, (voter) => state.votes.has(voter))) becomeLeader(state);
  else requestVotes(state, 'voteRequest', state.term);
}
