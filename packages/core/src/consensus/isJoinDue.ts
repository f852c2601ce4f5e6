import type ConsensusState from './ConsensusState';
import isMember from './isMember';
import isVoter from './isVoter';
import timing from './timing';

/**
 * Returns whether a replica has to ask the group to take it in. A learner that hears no leader asks
 * again, as the entry that has made it a member may be lost. A voter requests votes instead.
 *
 * @param state - the replica
 * @returns true if it is no member, or a learner without a leader for an election timeout
 */
export default function isJoinDue(state: ConsensusState): boolean {
  if (!isMember(state.members, state.self)) return true;
  return !isVoter(state) && state.nowMs - state.leaderContactAtMs >= timing.electionMaxMs;
}
