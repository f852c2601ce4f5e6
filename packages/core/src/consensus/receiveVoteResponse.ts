import becomeFollower from './becomeFollower';
import becomeLeader from './becomeLeader';
import type ConsensusState from './ConsensusState';
import isQuorum from './isQuorum';
import type MessageOf from './MessageOf';
import type ReplicaId from './ReplicaId';
import startElection from './startElection';

/**
 * Handles the response to a vote or pre-vote request. Advances the election once a quorum has
 * granted it.
 *
 * @param state - the replica
 * @param from - the voter
 * @param response - the response
 */
export default function receiveVoteResponse(
  state: ConsensusState,
  from: ReplicaId,
  response: MessageOf<'preVoteAnswer' | 'voteAnswer'>,
): void {
  if (!response.isGranted) {
    if (response.term > state.term) becomeFollower(state, response.term, undefined);
    return;
  }
  const isPreVote = response.kind === 'preVoteAnswer';
  if (state.role !== (isPreVote ? 'preCandidate' : 'candidate')) return;
  if (response.term !== (isPreVote ? state.term + 1 : state.term)) return;
  state.votes.add(from);
  if (!isQuorum(state.members, (voter) => state.votes.has(voter))) return;
  if (isPreVote) startElection(state);
  else becomeLeader(state);
}
