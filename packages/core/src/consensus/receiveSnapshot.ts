import acceptLeader from './acceptLeader';
import type ConsensusState from './ConsensusState';
import findTerm from './findTerm';
import type MessageOf from './MessageOf';
import refreshMembers from './refreshMembers';
import type ReplicaId from './ReplicaId';
import send from './send';
import setCommitIndex from './setCommitIndex';

/**
 * Handles a leader's snapshot and sends a response. A log that holds the last entry of the snapshot
 * is kept; otherwise a snapshot that is newer than the commit index replaces the complete log.
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
  if (findTerm(state, snapshot.lastIndex) === snapshot.lastTerm) {
    // The leader may count the entries that follow, so a log that holds the snapshot's is kept.
    setCommitIndex(state, snapshot.lastIndex);
  } else if (snapshot.lastIndex > state.commitIndex) {
    state.syncedIndex = Math.min(state.syncedIndex, state.commitIndex);
    state.snapshot = snapshot;
    state.log = [];
    state.commitIndex = snapshot.lastIndex;
    refreshMembers(state);
    state.outbox.push({ kind: 'write', record: { kind: 'snapshot', snapshot } });
    state.outbox.push({ kind: 'restore', snapshot });
  }
  respond(true, snapshot.lastIndex);
}
