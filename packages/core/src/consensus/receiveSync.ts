import advanceCommit from './advanceCommit';
import broadcast from './broadcast';
import type ConsensusEvent from './ConsensusEvent';
import type ConsensusState from './ConsensusState';
import findTerm from './findTerm';
import postponeElection from './postponeElection';

type SyncedEvent = Extract<ConsensusEvent, { kind: 'synced' }>;

/**
 * Handles the end of a write: what waited for it may count from now on.
 *
 * @param state - the replica
 * @param event - what has been synced
 */
export default function receiveSync(state: ConsensusState, event: SyncedEvent): void {
  const {
    nowMs, lastIndex, lastTerm, votes, durationMs,
  } = event;
  state.nowMs = nowMs;
  state.unsyncedVotes -= votes;
  if (votes > 0) postponeElection(state, durationMs);
  // Entries that were truncated during the write are not those that it has synced.
  if (findTerm(state, lastIndex) === lastTerm) {
    state.syncedIndex = Math.max(state.syncedIndex, lastIndex);
  }
  if (state.role !== 'leader') return;
  const isFirstCommit = state.commitIndex < state.termStartIndex;
  advanceCommit(state);
  // Followers are not current before they know of the first commit of the term.
  if (isFirstCommit && state.commitIndex >= state.termStartIndex) broadcast(state);
}
