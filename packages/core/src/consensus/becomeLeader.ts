import advanceCommit from './advanceCommit';
import appendCommand from './appendCommand';
import broadcast from './broadcast';
import type ConsensusState from './ConsensusState';
import setLeader from './setLeader';

/**
 * Becomes the leader of the current term and appends a no-op entry for it.
 *
 * @param state - a candidate to which a quorum has granted its vote
 */
export default function becomeLeader(state: ConsensusState): void {
  state.role = 'leader';
  state.votes.clear();
  state.progress.clear();
  state.reads = [];
  state.round = 0;
  setLeader(state, state.self);
  state.termStartIndex = appendCommand(state, { kind: 'noop' });
  broadcast(state);
  advanceCommit(state);
}
