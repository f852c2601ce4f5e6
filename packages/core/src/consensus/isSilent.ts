import type ConsensusState from './ConsensusState';
import type ReplicaId from './ReplicaId';
import timing from './timing';

/**
 * Determines whether another replica has not responded to the leader for some time.
 *
 * @param state - the leader
 * @param replica - the other replica
 * @returns true once `lostVoterMs` have passed without a response
 */
export default function isSilent(state: ConsensusState, replica: ReplicaId): boolean {
  if (replica === state.self) return false;
  const lastContactAtMs = state.progress.get(replica)?.lastContactAtMs ?? state.nowMs;
  return state.nowMs - lastContactAtMs >= timing.lostVoterMs;
}
