import advanceCommit from './advanceCommit';
import appendCommand from './appendCommand';
import broadcast from './broadcast';
import type ConsensusState from './ConsensusState';
import setLeader from './setLeader';

/**
 * Leads the current term, which a quorum has granted.
 *
 * @param state - the replica
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
