import advanceCommit from './advanceCommit';
import becomeFollower from './becomeFollower';
import confirmReads from './confirmReads';
import type ConsensusState from './ConsensusState';
import findLastIndex from './findLastIndex';
import type MessageOf from './MessageOf';
import type Progress from './Progress';
import replicate from './replicate';
import type ReplicaId from './ReplicaId';

type Answer = MessageOf<'appendAnswer'>;

function noteAnswer(state: Progress, answer: Answer, nowMs: number): void {
  state.heardAtMs = nowMs;
  state.round = Math.max(state.round, answer.round);
  if (answer.isAccepted) {
    state.matchIndex = Math.max(state.matchIndex, answer.matchIndex);
    state.nextIndex = Math.max(state.nextIndex, state.matchIndex + 1);
    return;
  }
  // A late refusal may be older than a match; it never takes a match back.
  const hint = Math.min(state.nextIndex - 1, answer.matchIndex + 1);
  state.nextIndex = Math.max(state.matchIndex + 1, hint, 1);
}

/**
 * Takes a replica's answer to an append or a snapshot.
 *
 * @param state - the replica
 * @param from - the replica that answers
 * @param answer - its answer
 */
export default function receiveAppendAnswer(
  state: ConsensusState,
  from: ReplicaId,
  answer: Answer,
): void {
  if (answer.term > state.term) {
    becomeFollower(state, answer.term, undefined);
    return;
  }
  const progress = state.progress.get(from);
  if (state.role !== 'leader' || answer.term < state.term || progress === undefined) return;
  const { matchIndex, nextIndex } = progress;
  noteAnswer(progress, answer, state.nowMs);
  advanceCommit(state);
  confirmReads(state);
  const hasMoved = progress.matchIndex > matchIndex || progress.nextIndex !== nextIndex;
  if (hasMoved && progress.nextIndex <= findLastIndex(state)) replicate(state, from);
}
