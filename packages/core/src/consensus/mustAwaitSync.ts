import type ConsensusEffect from './ConsensusEffect';
import type ConsensusState from './ConsensusState';

/**
 * Determines whether an effect rests on writes that are not synced yet. The terms, votes and
 * entries that a replica tells others must survive a loss of power; what it hears, and the entries
 * that a leader sends before it counts itself, need not.
 *
 * @param state - the replica, right after the step that has requested the effect
 * @param effect - the effect
 * @returns true if the effect has to wait until the writes before it are synced
 */
export default function mustAwaitSync(state: ConsensusState, effect: ConsensusEffect): boolean {
  if (effect.kind === 'write' || state.unsyncedVotes > 0) return true;
  if (effect.kind !== 'send' || effect.message.kind !== 'appendAnswer') return false;
  const { isAccepted, matchIndex } = effect.message;
  return isAccepted && matchIndex > state.syncedIndex;
}
