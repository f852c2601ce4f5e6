import type ConsensusState from './ConsensusState';

/**
 * Commits the entries up to an index.
 *
 * @param state - the replica
 * @param commitIndex - an index that the log holds
 */
export default function setCommitIndex(state: ConsensusState, commitIndex: number): void {
  if (commitIndex <= state.commitIndex) return;
  const offset = state.snapshot.lastIndex;
  const entries = state.log.slice(state.commitIndex - offset, commitIndex - offset);
  state.commitIndex = commitIndex;
  state.outbox.push({ kind: 'commit', entries });
}
