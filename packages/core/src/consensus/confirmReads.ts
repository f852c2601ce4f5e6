import type ConsensusState from './ConsensusState';
import isQuorum from './isQuorum';

/**
 * Answers the reads whose round a quorum has answered.
 *
 * @param state - the leader
 */
export default function confirmReads(state: ConsensusState): void {
  const confirmed = (round: number): boolean => isQuorum(state.members, (voter) => (
    voter === state.self || (state.progress.get(voter)?.round ?? 0) >= round
  ));
  // Before its own term has committed, a leader does not know what is committed.
  if (state.commitIndex < state.termStartIndex) return;
  while (state.reads[0] !== undefined && confirmed(state.reads[0].round)) {
    const { token, index } = state.reads[0];
    state.reads.shift();
    const committed = Math.max(index, state.termStartIndex);
    state.outbox.push({ kind: 'readReady', token, index: committed });
  }
}
