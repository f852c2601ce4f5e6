import type ConsensusState from './ConsensusState';
import findLastIndex from './findLastIndex';
import isQuorum from './isQuorum';
import isEntrySynced from './isEntrySynced';
import setCommitIndex from './setCommitIndex';

/**
 * Commits the entries that a quorum has synced. Entries of earlier terms are committed only
 * together with an entry of the leader's own term, because a later leader could still overwrite
 * them.
 *
 * @param state - the leader
 */
export default function advanceCommit(state: ConsensusState): void {
  const lastIndex = findLastIndex(state);
  const minIndex = Math.max(state.commitIndex + 1, state.termStartIndex);
  for (let index = lastIndex; index >= minIndex; index -= 1) {
    const hasEntry = (voter: string): boolean => (voter === state.self
      ? isEntrySynced(state, index)
      : (state.progress.get(voter)?.matchIndex ?? 0) >= index);
    if (isQuorum(state.members, hasEntry)) {
      setCommitIndex(state, index);
      state.hasCaughtUp = true;
      return;
    }
  }
}
