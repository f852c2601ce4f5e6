import type ConsensusState from './ConsensusState';

/**
 * Determines whether this replica would still have an entry after a loss of power.
 *
 * @param state - the replica
 * @param index - index of an entry of its log
 * @returns true if the entry and all before it are synced
 */
export default function isEntrySynced(state: ConsensusState, index: number): boolean {
  return !state.syncsLate || index <= state.syncedIndex;
}
