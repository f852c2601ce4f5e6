import becomeFollower from './becomeFollower';
import becomeLeader from './becomeLeader';
import type ConsensusState from './ConsensusState';
import isQuorum from './isQuorum';
import type MessageOf from './MessageOf';
import type ReplicaId from './ReplicaId';
import startElection from './startElection';

/**
 * Counts a vote or pre-vote.
 *
 * @param state - the replica
 * @param from - the voter
 * @param answer - its answer
 */
export default function receiveVoteAnswer(
  state: ConsensusState,
  from: ReplicaId,
  answer: MessageOf<'preVoteAnswer' | 'voteAnswer'>,
): void {
  if (!answer.isGranted) {
    if (answer.term > state.term) becomeFollower(state, answer.term, undefined);
    return;
  }
  const isPreVote = answer.kind === 'preVoteAnswer';
  if (state.role !== (isPreVote ? 'preCandidate' : 'candidate')) return;
  if (answer.term !== (isPreVote ? state.term + 1 : state.term)) return;
  state.votes.add(from);
  if (!isQuorum(state.members, (voter) => state.votes.has(voter))) return;
  if (isPreVote) startElection(state);
  else becomeLeader(state);
}
