import type ConsensusState from './ConsensusState';
import isQuorum from './isQuorum';

/**
 * Completes the reads whose round a quorum has responded to.
 *
 * @param state - the leader
 */
export default function confirmReads(state: ConsensusState): void {
  const isConfirmed = (round: number): boolean => isQuorum(state.members, (voter) => (
    voter === state.self || (state.progress.get(voter)?.round ?? 0) >= round
  ));
  // Until an entry of its own term is committed, a leader does not know the true commit index.
  if (state.commitIndex < state.termStartIndex) return;
  while (state.reads[0] !== undefined && isConfirmed(state.reads[0].round)) {
    const { token, index } = state.reads[0];
    state.reads.shift();
    const readIndex = Math.max(index, state.termStartIndex);
    state.outbox.push({ kind: 'readReady', token, index: readIndex });
  }
}
