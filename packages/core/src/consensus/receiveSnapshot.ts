import acceptLeader from './acceptLeader';
import type ConsensusState from './ConsensusState';
import type MessageOf from './MessageOf';
import refreshMembers from './refreshMembers';
import type ReplicaId from './ReplicaId';
import send from './send';

/**
 * Takes a leader's snapshot in place of the whole log, and answers it.
 *
 * @param state - the replica
 * @param from - the leader
 * @param message - its message
 */
export default function receiveSnapshot(
  state: ConsensusState,
  from: ReplicaId,
  message: MessageOf<'snapshot'>,
): void {
  const { snapshot, round } = message;
  const answer = (isAccepted: boolean, matchIndex: number): void => send(state, from, {
    kind: 'appendAnswer', term: state.term, isAccepted, matchIndex, round,
  });
  if (message.term < state.term) {
    answer(false, 0);
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
  answer(true, snapshot.lastIndex);
}
