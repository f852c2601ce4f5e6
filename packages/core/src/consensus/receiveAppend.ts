import acceptLeader from './acceptLeader';
import appendEntries from './appendEntries';
import type ConsensusState from './ConsensusState';
import findLastIndex from './findLastIndex';
import findTerm from './findTerm';
import type LogEntry from './LogEntry';
import type MessageOf from './MessageOf';
import type ReplicaId from './ReplicaId';
import send from './send';
import setCommitIndex from './setCommitIndex';
import truncateLog from './truncateLog';

type Append = MessageOf<'append'>;

function findNewEntries(state: ConsensusState, append: Append): LogEntry[] {
  const start = append.entries.findIndex(({ index, term }) => (
    index > state.snapshot.lastIndex && findTerm(state, index) !== term
  ));
  return start < 0 ? [] : append.entries.slice(start);
}

function takeEntries(state: ConsensusState, append: Append): void {
  const entries = findNewEntries(state, append);
  const first = entries[0];
  if (first === undefined) return;
  if (first.index <= findLastIndex(state)) truncateLog(state, first.index);
  appendEntries(state, entries);
}

function matches(state: ConsensusState, append: Append): boolean {
  // What the snapshot stands for is committed, and so matches every leader's log.
  if (append.previousIndex < state.snapshot.lastIndex) return true;
  return findTerm(state, append.previousIndex) === append.previousTerm;
}

/**
 * Takes entries or a heartbeat from a leader, and answers it.
 *
 * @param state - the replica
 * @param from - the leader
 * @param append - its message
 */
export default function receiveAppend(
  state: ConsensusState,
  from: ReplicaId,
  append: Append,
): void {
  const answer = (isAccepted: boolean, matchIndex: number): void => send(state, from, {
    kind: 'appendAnswer', term: state.term, isAccepted, matchIndex, round: append.round,
  });
  if (append.term < state.term) {
    answer(false, 0);
    return;
  }
  acceptLeader(state, from, append.term);
  if (!matches(state, append)) {
    answer(false, Math.min(findLastIndex(state), append.previousIndex - 1));
    return;
  }
  takeEntries(state, append);
  const matchIndex = append.previousIndex + append.entries.length;
  setCommitIndex(state, Math.min(append.commitIndex, matchIndex));
  answer(true, matchIndex);
}
