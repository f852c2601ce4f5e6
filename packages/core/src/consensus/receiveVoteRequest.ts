import becomeFollower from './becomeFollower';
import type ConsensusState from './ConsensusState';
import drawElectionDue from './drawElectionDue';
import findLastIndex from './findLastIndex';
import findTerm from './findTerm';
import isMember from './isMember';
import type MessageOf from './MessageOf';
import type ReplicaId from './ReplicaId';
import send from './send';
import setTerm from './setTerm';
import timing from './timing';

type Request = MessageOf<'preVoteRequest' | 'voteRequest'>;

function isUpToDate(state: ConsensusState, request: Request): boolean {
  const lastIndex = findLastIndex(state);
  const lastTerm = findTerm(state, lastIndex) ?? 0;
  if (request.lastTerm !== lastTerm) return request.lastTerm > lastTerm;
  return request.lastIndex >= lastIndex;
}

function hearsLeader(state: ConsensusState): boolean {
  if (state.role === 'leader') return true;
  if (state.leader === undefined) return false;
  return state.nowMs - state.leaderHeardAtMs < timing.electionMinMs;
}

function answerPreVote(state: ConsensusState, from: ReplicaId, request: Request): void {
  const isGranted = request.term > state.term && isUpToDate(state, request);
  const term = isGranted ? request.term : state.term;
  send(state, from, { kind: 'preVoteAnswer', term, isGranted });
}

function answerVote(state: ConsensusState, from: ReplicaId, request: Request): void {
  if (request.term > state.term) becomeFollower(state, request.term, undefined);
  const isFree = state.votedFor === undefined || state.votedFor === from;
  const isGranted = request.term === state.term && isFree && isUpToDate(state, request);
  if (isGranted && state.votedFor === undefined) setTerm(state, state.term, from);
  if (isGranted) state.electionDueMs = drawElectionDue(state);
  send(state, from, { kind: 'voteAnswer', term: state.term, isGranted });
}

/**
 * Answers a candidate. While a leader is heard, elections are ignored (check-quorum).
 *
 * @param state - the replica
 * @param from - the candidate
 * @param request - its request
 */
export default function receiveVoteRequest(
  state: ConsensusState,
  from: ReplicaId,
  request: Request,
): void {
  // A voter that was removed while it was cut off does not know it; it is taken in again.
  if (state.role === 'leader' && !isMember(state.members, from)) state.joining = from;
  if (hearsLeader(state)) return;
  if (request.kind === 'preVoteRequest') answerPreVote(state, from, request);
  else answerVote(state, from, request);
}
