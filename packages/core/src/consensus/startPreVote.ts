import type ConsensusState from './ConsensusState';
import drawElectionDeadline from './drawElectionDeadline';
import isQuorum from './isQuorum';
import requestVotes from './requestVotes';
import setLeader from './setLeader';
import startElection from './startElection';

/**
 * Asks the other voters whether an election could be won, without incrementing the term. So a
 * replica that was partitioned does not depose the leader when it reconnects.
 *
 * @param state - a voter without contact to a leader for an election timeout
 */
export default function startPreVote(state: ConsensusState): void {
  state.role = 'preCandidate';
  state.votes = new Set([state.self]);
  state.electionDeadlineMs = drawElectionDeadline(state);
  setLeader(state, undefined);
  if (isQuorum(state.members, (voter) => state.votes.has(voter))) startElection(state);
  else requestVotes(state, 'preVoteRequest', state.term + 1);
}
