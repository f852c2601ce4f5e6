import type DurableState from './DurableState';

/**
 * Returns the index of the last log entry, including compacted entries.
 *
 * @param state - the replica
 * @returns the index, 0 if no entry has ever been appended
 */
export default function findLastIndex(state: DurableState): number {
  return state.snapshot.lastIndex + state.log.length;
}
