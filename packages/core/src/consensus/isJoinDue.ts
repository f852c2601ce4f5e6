import type ConsensusState from './ConsensusState';
import isMember from './isMember';
import timing from './timing';

/**
 * Returns whether a replica has to ask the group to take it in. A member that hears no leader asks
 * again, as the entry that has made it a member may be lost, or a later one may have removed it.
 *
 * @param state - the replica
 * @returns true if it is no member, or without a leader for an election timeout
 */
export default function isJoinDue(state: ConsensusState): boolean {
  if (state.role === 'leader') return false;
  if (!isMember(state.members, state.self)) return true;
  const heardAtMs = Math.max(state.leaderContactAtMs, state.startedAtMs);
  return state.nowMs - heardAtMs >= timing.electionMaxMs;
}
