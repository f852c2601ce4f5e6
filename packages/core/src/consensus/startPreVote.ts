import type ConsensusState from './ConsensusState';
import drawElectionDue from './drawElectionDue';
import isQuorum from './isQuorum';
import requestVotes from './requestVotes';
import setLeader from './setLeader';
import startElection from './startElection';

/**
 * Asks whether an election could be won. A replica that was cut off does not raise the term in
 * this way, and so does not disturb a leader when it comes back.
 *
 * @param state - a voter that has not heard of a leader for an election timeout
 */
export default function startPreVote(state: ConsensusState): void {
  state.role = 'preCandidate';
  state.votes = new Set([state.self]);
  state.electionDueMs = drawElectionDue(state);
  setLeader(state, undefined);
  if (isQuorum(state.members, (voter) => state.votes.has(voter))) startElection(state);
  else requestVotes(state, 'preVoteRequest', state.term + 1);
}
