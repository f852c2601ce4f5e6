import type ConsensusState from './ConsensusState';
import findPeers from './findPeers';
import replicate from './replicate';
import timing from './timing';

/**
 * Starts a new round: sends entries or a heartbeat to all other members.
 *
 * @param state - the leader
 */
export default function broadcast(state: ConsensusState): void {
  state.round += 1;
  state.heartbeatDueMs = state.nowMs + timing.heartbeatMs;
  findPeers(state).forEach((peer) => replicate(state, peer));
}
