import type ConsensusState from './ConsensusState';
import type ReplicaId from './ReplicaId';

/**
 * Records the current leader and emits a `leader` effect if it has changed.
 *
 * @param state - the replica
 * @param leader - the leader of the term, undefined if none is known
 */
export default function setLeader(state: ConsensusState, leader: ReplicaId | undefined): void {
  if (state.leader === leader) return;
  state.leader = leader;
  if (leader !== undefined) state.hasSeenLeader = true;
  state.outbox.push({ kind: 'leader', leader });
}
