import advanceCommit from './advanceCommit';
import becomeFollower from './becomeFollower';
import broadcast from './broadcast';
import confirmReads from './confirmReads';
import type ConsensusState from './ConsensusState';
import findLastIndex from './findLastIndex';
import type MessageOf from './MessageOf';
import type Progress from './Progress';
import replicate from './replicate';
import type ReplicaId from './ReplicaId';

type AppendResponse = MessageOf<'appendAnswer'>;

function updateProgress(state: Progress, response: AppendResponse, nowMs: number): void {
  state.lastContactAtMs = nowMs;
  state.round = Math.max(state.round, response.round);
  if (response.isAccepted) {
    state.matchIndex = Math.max(state.matchIndex, response.matchIndex);
    state.nextIndex = Math.max(state.nextIndex, state.matchIndex + 1);
    return;
  }
  // A delayed rejection may be older than a match, so it never lowers the match index.
  const hint = Math.min(state.nextIndex - 1, response.matchIndex + 1);
  state.nextIndex = Math.max(state.matchIndex + 1, hint, 1);
}

/**
 * Handles a replica's response to AppendEntries or to a snapshot: updates its progress, then
 * commits entries and confirms reads where possible.
 *
 * @param state - the replica
 * @param from - the replica that responds
 * @param response - the response
 */
export default function receiveAppendResponse(
  state: ConsensusState,
  from: ReplicaId,
  response: AppendResponse,
): void {
  if (response.term > state.term) {
    becomeFollower(state, response.term, undefined);
    return;
  }
  const progress = state.progress.get(from);
  if (state.role !== 'leader' || response.term < state.term || progress === undefined) return;
  const { matchIndex, nextIndex } = progress;
  updateProgress(progress, response, state.nowMs);
  const isFirstCommit = state.commitIndex < state.termStartIndex;
  advanceCommit(state);
  // Followers are not current before they know of the first commit of the term.
  if (isFirstCommit && state.commitIndex >= state.termStartIndex) broadcast(state);
  confirmReads(state);
  const hasProgressed = progress.matchIndex > matchIndex || progress.nextIndex !== nextIndex;
  if (hasProgressed && progress.nextIndex <= findLastIndex(state)) replicate(state, from);
}
