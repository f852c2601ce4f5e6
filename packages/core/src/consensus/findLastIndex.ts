import type DurableState from './DurableState';

/**
 * Returns the index of the last log entry, including compacted entries.
 *
 * @param state - the replica
 * @returns the index of the last entry, 0 for an empty log
 */
export default function findLastIndex(state: DurableState): number {
  return state.snapshot.lastIndex + state.log.length;
}
