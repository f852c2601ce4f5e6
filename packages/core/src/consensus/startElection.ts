import becomeLeader from './becomeLeader';
import type ConsensusState from './ConsensusState';
import drawElectionDue from './drawElectionDue';
import isQuorum from './isQuorum';
import requestVotes from './requestVotes';
import setTerm from './setTerm';

/**
 * Stands for election in the next term.
 *
 * @param state - a replica whose pre-vote a quorum has granted
 */
export default function startElection(state: ConsensusState): void {
  setTerm(state, state.term + 1, state.self);
  state.role = 'candidate';
  state.votes = new Set([state.self]);
  state.electionDueMs = drawElectionDue(state);
  if (isQuorum(state.members, (voter) => state.votes.has(voter))) becomeLeader(state);
  else requestVotes(state, 'voteRequest', state.term);
}
