import acceptLeader from './acceptLeader';
import type ConsensusState from './ConsensusState';
import type MessageOf from './MessageOf';
import refreshMembers from './refreshMembers';
import type ReplicaId from './ReplicaId';
import send from './send';

/**
 * Handles a leader's snapshot: replaces the complete log if the snapshot is newer than the
 * commit index, and sends a response.
 *
 * @param state - the replica
 * @param from - the leader
 * @param message - the snapshot message
 */
export default function receiveSnapshot(
  state: ConsensusState,
  from: ReplicaId,
  message: MessageOf<'snapshot'>,
): void {
  const { snapshot, round } = message;
  const respond = (isAccepted: boolean, matchIndex: number): void => send(state, from, {
    kind: 'appendAnswer', term: state.term, isAccepted, matchIndex, round,
  });
  if (message.term < state.term) {
    respond(false, 0);
    return;
  }
  acceptLeader(state, from, message.term);
  if (snapshot.lastIndex > state.commitIndex) {
    state.snapshot = snapshot;
    state.log = [];
    state.commitIndex = snapshot.lastIndex;
    refreshMembers(state);
    state.outbox.push({ kind: 'write', record: { kind: 'snapshot', snapshot } });
    state.outbox.push({ kind: 'restore', snapshot });
  }
  respond(true, snapshot.lastIndex);
}
