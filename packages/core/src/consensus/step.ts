import advanceCommit from './advanceCommit';
import appendCommand from './appendCommand';
import becomeFollower from './becomeFollower';
import broadcast from './broadcast';
import compact from './compact';
import confirmReads from './confirmReads';
import type ConsensusEffect from './ConsensusEffect';
import type ConsensusEvent from './ConsensusEvent';
import type ConsensusMessage from './ConsensusMessage';
import type ConsensusState from './ConsensusState';
import isVoter from './isVoter';
import maintainMembers from './maintainMembers';
import receiveAppend from './receiveAppend';
import receiveAppendResponse from './receiveAppendResponse';
import receiveSync from './receiveSync';
import receiveSnapshot from './receiveSnapshot';
import receiveVoteResponse from './receiveVoteResponse';
import receiveVoteRequest from './receiveVoteRequest';
import repeatPreVoteRequest from './repeatPreVoteRequest';
import type ReplicaId from './ReplicaId';
import tick from './tick';

type ProposeEvent = Extract<ConsensusEvent, { kind: 'propose' }>;

function receive(state: ConsensusState, from: ReplicaId, message: ConsensusMessage): void {
  switch (message.kind) {
    case 'append':
      receiveAppend(state, from, message);
      break;
    case 'snapshot':
      receiveSnapshot(state, from, message);
      break;
    case 'appendAnswer':
      receiveAppendResponse(state, from, message);
      break;
    case 'preVoteRequest':
    case 'voteRequest':
      receiveVoteRequest(state, from, message);
      break;
    default: receiveVoteResponse(state, from, message);
  }
}

function propose(state: ConsensusState, { token, command }: ProposeEvent): void {
  if (state.role !== 'leader') {
    state.outbox.push({ kind: 'refused', token });
    return;
  }
  const index = appendCommand(state, command);
  state.outbox.push({
    kind: 'proposed', token, index, term: state.term,
  });
  broadcast(state);
  advanceCommit(state);
}

function read(state: ConsensusState, token: number): void {
  if (state.role !== 'leader') {
    state.outbox.push({ kind: 'refused', token });
    return;
  }
  // The next heartbeat round confirms the read, so reads need no messages of their own.
  state.reads.push({ token, index: state.commitIndex, round: state.round + 1 });
  confirmReads(state);
}

/** Steps down after the commit of a change that has removed the leader itself. */
function stepDownIfRemoved(state: ConsensusState): void {
  if (isVoter(state) || state.commitIndex < state.membersIndex) return;
  // The last append tells the followers that the change is committed.
  broadcast(state);
  becomeFollower(state, state.term, undefined);
}

function maintain(state: ConsensusState): void {
  if (state.role !== 'leader') return;
  if (maintainMembers(state)) {
    broadcast(state);
    advanceCommit(state);
  }
  stepDownIfRemoved(state);
}

/**
 * Advances a replica by one event. This is the entry point of the protocol: Raft with pre-vote,
 * check-quorum, read index, learners and single-server membership changes.
 *
 * @param state - the replica, modified in place
 * @param event - the event to process
 * @returns the effects to execute; all writes must be synced before any other effect, or before
 *   those that `mustAwaitSync` finds if the state says that writes are synced late
 */
export default function step(state: ConsensusState, event: ConsensusEvent): ConsensusEffect[] {
  switch (event.kind) {
    case 'tick':
      state.nowMs = event.nowMs;
      tick(state);
      maintain(state);
      break;
    case 'message':
      state.nowMs = event.nowMs ?? state.nowMs;
      receive(state, event.from, event.message);
      break;
    case 'propose':
      propose(state, event);
      break;
    case 'read':
      read(state, event.token);
      break;
    case 'join':
      state.joining = event.replica;
      state.leaving.delete(event.replica);
      break;
    case 'leave':
      state.leaving.add(event.replica);
      maintain(state);
      break;
    case 'connected':
      repeatPreVoteRequest(state, event.vmName);
      break;
    case 'synced':
      receiveSync(state, event);
      break;
    default: compact(state, event.index, event.data);
  }
  if (state.role === 'leader') confirmReads(state);
  return state.outbox.splice(0);
}
