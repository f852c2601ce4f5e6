import type ConsensusEffect from './ConsensusEffect';
import type ConsensusState from './ConsensusState';

/**
 * Determines whether an effect rests on writes that are not synced yet. The terms, votes and
 * entries that a replica tells others must survive a loss of power, and so must the vote by which
 * it leads. What a follower hears, and the entries that a leader sends before it counts itself,
 * need not.
 *
 * @param state - the replica, right after the step that has requested the effect
 * @param effect - the effect
 * @returns true if the effect has to wait until the writes before it are synced
 */
export default function mustAwaitSync(state: ConsensusState, effect: ConsensusEffect): boolean {
  if (effect.kind === 'write') return true;
  const hasUnsyncedVote = state.unsyncedVotes > 0;
  if (effect.kind !== 'send') return hasUnsyncedVote && state.role !== 'follower';
  if (hasUnsyncedVote) return true;
  if (effect.message.kind !== 'appendAnswer') return false;
  const { isAccepted, matchIndex } = effect.message;
  return isAccepted && matchIndex > state.syncedIndex;
}
