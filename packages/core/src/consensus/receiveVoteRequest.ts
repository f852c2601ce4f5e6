import becomeFollower from './becomeFollower';
import type ConsensusState from './ConsensusState';
import drawElectionDeadline from './drawElectionDeadline';
import findLastIndex from './findLastIndex';
import findTerm from './findTerm';
import isMember from './isMember';
import type MessageOf from './MessageOf';
import type ReplicaId from './ReplicaId';
import send from './send';
import setTerm from './setTerm';
import timing from './timing';

type VoteRequest = MessageOf<'preVoteRequest' | 'voteRequest'>;

function isUpToDate(state: ConsensusState, request: VoteRequest): boolean {
  const lastIndex = findLastIndex(state);
  const lastTerm = findTerm(state, lastIndex) ?? 0;
  if (request.lastTerm !== lastTerm) return request.lastTerm > lastTerm;
  return request.lastIndex >= lastIndex;
}

function hasLeaderContact(state: ConsensusState): boolean {
  if (state.role === 'leader') return true;
  if (state.leader === undefined) return false;
  return state.nowMs - state.leaderContactAtMs < timing.electionMinMs;
}

/**
 * Gives way to another candidate. Where each remaining vote is needed, two elections at a time
 * would both fail; of two that ask at the same moment, the one whose name sorts first gives way.
 * While disks are slow, the vote request follows only after a sync of the candidate.
 */
function giveWay(state: ConsensusState, from: ReplicaId): void {
  const { slowSyncMs } = state;
  if (state.role === 'preCandidate' && state.self < from) state.role = 'follower';
  const waitMs = slowSyncMs > 0 ? slowSyncMs + timing.electionMinMs : timing.otherElectionMs;
  const earliestMs = state.nowMs + waitMs;
  state.electionDeadlineMs = Math.max(state.electionDeadlineMs, earliestMs);
}

function respondToPreVote(state: ConsensusState, from: ReplicaId, request: VoteRequest): void {
  const isGranted = request.term > state.term && isUpToDate(state, request);
  const term = isGranted ? request.term : state.term;
  if (isGranted) giveWay(state, from);
  send(state, from, { kind: 'preVoteAnswer', term, isGranted });
}

function respondToVote(state: ConsensusState, from: ReplicaId, request: VoteRequest): void {
  if (request.term > state.term) becomeFollower(state, request.term, undefined);
  const canVote = state.votedFor === undefined || state.votedFor === from;
  const isGranted = request.term === state.term && canVote && isUpToDate(state, request);
  if (isGranted && state.votedFor === undefined) setTerm(state, state.term, from);
  if (isGranted) state.electionDeadlineMs = drawElectionDeadline(state);
  send(state, from, { kind: 'voteAnswer', term: state.term, isGranted });
}

/**
 * Handles a vote or pre-vote request. Requests are ignored while a leader is in contact
 * (check-quorum), so that a disruptive candidate cannot depose it.
 *
 * @param state - the replica
 * @param from - the candidate
 * @param request - the vote or pre-vote request
 */
export default function receiveVoteRequest(
  state: ConsensusState,
  from: ReplicaId,
  request: VoteRequest,
): void {
  // A voter that was removed during a network partition does not know of its removal, so the
  // leader adds it again.
  if (state.role === 'leader' && !isMember(state.members, from)) state.joining = from;
  if (hasLeaderContact(state)) return;
  if (request.kind === 'preVoteRequest') respondToPreVote(state, from, request);
  else respondToVote(state, from, request);
}
