import type ConsensusState from './ConsensusState';
import findLastIndex from './findLastIndex';
import findTerm from './findTerm';
import type Progress from './Progress';
import type ReplicaId from './ReplicaId';
import selectEntries from './selectEntries';
import send from './send';
import timing from './timing';

/** The leader before this one has been silent since it was heard last, but may respond yet. */
function findLastContact(state: ConsensusState, replica: ReplicaId): number {
  if (replica !== state.lastLeader) return state.nowMs;
  const earliestMs = state.nowMs - timing.lostVoterMs + timing.electionMinMs;
  return Math.max(state.leaderContactAtMs, earliestMs);
}

function createProgress(state: ConsensusState, replica: ReplicaId): Progress {
  const initialLastIndex = findLastIndex(state);
  return {
    matchIndex: 0,
    nextIndex: initialLastIndex + 1,
    round: 0,
    lastContactAtMs: findLastContact(state, replica),
    initialLastIndex,
    snapshotSentAtMs: -Infinity,
  };
}

function sendSnapshot(state: ConsensusState, to: ReplicaId): void {
  const { term, round, snapshot } = state;
  send(state, to, {
    kind: 'snapshot', term, snapshot, round,
  });
}

/**
 * Sends a replica the entries it is missing, a snapshot if they are compacted, or a heartbeat.
 *
 * @param state - the leader
 * @param to - the receiving replica
 */
export default function replicate(state: ConsensusState, to: ReplicaId): void {
  const progress = state.progress.get(to) ?? createProgress(state, to);
  state.progress.set(to, progress);
  const isSnapshotDue = state.nowMs - progress.snapshotSentAtMs >= timing.snapshotResendMs;
  if (progress.nextIndex <= state.snapshot.lastIndex && isSnapshotDue) {
    progress.snapshotSentAtMs = state.nowMs;
    sendSnapshot(state, to);
    return;
  }
  // While a snapshot is in flight, an append that starts after it serves as the heartbeat.
  const nextIndex = Math.max(progress.nextIndex, state.snapshot.lastIndex + 1);
  const previousIndex = nextIndex - 1;
  const start = previousIndex - state.snapshot.lastIndex;
  send(state, to, {
    kind: 'append',
    term: state.term,
    previousIndex,
    previousTerm: findTerm(state, previousIndex) ?? 0,
    entries: selectEntries(state.log, start),
    commitIndex: state.commitIndex,
    round: state.round,
  });
}
