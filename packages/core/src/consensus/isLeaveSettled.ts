import type ConsensusState from './ConsensusState';
import findRemovableVoter from './findRemovableVoter';
import type ReplicaId from './ReplicaId';
import timing from './timing';

/**
 * Returns whether a replica that leaves need not wait any longer: it is no voter any more, or no
 * change of the members that could remove it is due.
 *
 * @param state - the leader
 * @param replica - a replica that has said that it leaves
 * @returns true if the process of the replica may end
 */
export default function isLeaveSettled(state: ConsensusState, replica: ReplicaId): boolean {
  if (!state.leaving.has(replica) || state.commitIndex < state.membersIndex) return false;
  if (!state.members.voters.includes(replica)) return true;
  // A learner may be the replacement, which becomes a voter first.
  const hasLearner = state.members.learners.some((learner) => {
    const lastContactAtMs = state.progress.get(learner)?.lastContactAtMs ?? state.nowMs;
    return state.nowMs - lastContactAtMs < timing.electionMinMs;
  });
  return !hasLearner && findRemovableVoter(state) === undefined;
}
