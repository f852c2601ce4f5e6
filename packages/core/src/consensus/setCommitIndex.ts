import type ConsensusState from './ConsensusState';

/**
 * Commits all entries up to an index. The commit index never decreases.
 *
 * @param state - the replica
 * @param commitIndex - index of an entry in the log
 */
export default function setCommitIndex(state: ConsensusState, commitIndex: number): void {
  if (commitIndex <= state.commitIndex) return;
  const offset = state.snapshot.lastIndex;
  const entries = state.log.slice(state.commitIndex - offset, commitIndex - offset);
  state.commitIndex = commitIndex;
  state.outbox.push({ kind: 'commit', entries });
}
