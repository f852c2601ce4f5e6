import type ConsensusState from './ConsensusState';
import findLastIndex from './findLastIndex';
import isQuorum from './isQuorum';
import setCommitIndex from './setCommitIndex';

/**
 * Commits what a quorum has synced. Entries of earlier terms are committed only by way of an
 * entry of the leader's own term, for a later leader could still replace them.
 *
 * @param state - the leader
 */
export default function advanceCommit(state: ConsensusState): void {
  const lastIndex = findLastIndex(state);
  const floor = Math.max(state.commitIndex + 1, state.termStartIndex);
  for (let index = lastIndex; index >= floor; index -= 1) {
    const holds = (voter: string): boolean => voter === state.self
      || (state.progress.get(voter)?.matchIndex ?? 0) >= index;
    if (isQuorum(state.members, holds)) {
      setCommitIndex(state, index);
      return;
    }
  }
}
