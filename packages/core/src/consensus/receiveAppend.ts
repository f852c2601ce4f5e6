import acceptLeader from './acceptLeader';
import appendEntries from './appendEntries';
import type ConsensusState from './ConsensusState';
import drawElectionDeadline from './drawElectionDeadline';
import findLastIndex from './findLastIndex';
import findTerm from './findTerm';
import isEntrySynced from './isEntrySynced';
import isMember from './isMember';
import isVoter from './isVoter';
import type LogEntry from './LogEntry';
import type MessageOf from './MessageOf';
import type ReplicaId from './ReplicaId';
import send from './send';
import setCommitIndex from './setCommitIndex';
import setLeader from './setLeader';
import truncateLog from './truncateLog';

type Append = MessageOf<'append'>;

function findNewEntries(state: ConsensusState, append: Append): LogEntry[] {
  const start = append.entries.findIndex(({ index, term }) => (
    index > state.snapshot.lastIndex && findTerm(state, index) !== term
  ));
  return start < 0 ? [] : append.entries.slice(start);
}

/** @returns whether there were entries that the log did not hold */
function mergeEntries(state: ConsensusState, append: Append): boolean {
  const entries = findNewEntries(state, append);
  const first = entries[0];
  if (first === undefined) return false;
  if (first.index <= findLastIndex(state)) truncateLog(state, first.index);
  appendEntries(state, entries);
  return true;
}

function matches(state: ConsensusState, append: Append): boolean {
  // Entries covered by the snapshot are committed, so they match the log of every leader.
  if (append.previousIndex < state.snapshot.lastIndex) return true;
  return findTerm(state, append.previousIndex) === append.previousTerm;
}

/** Returns whether the last committed change of the members has removed the sender, the leader. */
function hasRemovedLeader(state: ConsensusState, append: Append): boolean {
  const { leader, members, commitIndex } = state;
  if (leader === undefined || !isVoter(state) || isMember(members, leader)) return false;
  return commitIndex === append.commitIndex && commitIndex >= state.membersIndex;
}

/**
 * Handles AppendEntries from a leader (entries or a heartbeat) and sends a response.
 *
 * @param state - the replica
 * @param from - the leader
 * @param append - the AppendEntries message
 */
export default function receiveAppend(
  state: ConsensusState,
  from: ReplicaId,
  append: Append,
): void {
  const respond = (isAccepted: boolean, matchIndex: number): void => send(state, from, {
    kind: 'appendAnswer', term: state.term, isAccepted, matchIndex, round: append.round,
  });
  if (append.term < state.term) {
    respond(false, 0);
    return;
  }
  acceptLeader(state, from, append.term);
  if (!matches(state, append)) {
    respond(false, Math.min(findLastIndex(state), append.previousIndex - 1));
    return;
  }
  const isNew = mergeEntries(state, append);
  const matchIndex = append.previousIndex + append.entries.length;
  setCommitIndex(state, Math.min(append.commitIndex, matchIndex));
  const hasLeadersCommits = state.commitIndex >= append.commitIndex;
  // A leader that has committed an entry of its term knows the true commit index.
  if (hasLeadersCommits && findTerm(state, state.commitIndex) === state.term) {
    state.hasCaughtUp = true;
  }
  if (hasRemovedLeader(state, append)) {
    setLeader(state, undefined);
    state.electionDeadlineMs = drawElectionDeadline(state, true);
  }
  // The response to new entries waits until they are synced; heartbeats are answered meanwhile.
  const isWhole = isNew || isEntrySynced(state, matchIndex);
  respond(true, isWhole ? matchIndex : state.syncedIndex);
}
