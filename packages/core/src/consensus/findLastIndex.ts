import type DurableState from './DurableState';

/**
 * @param state - the replica
 * @returns index of the last entry of its log
 */
export default function findLastIndex(state: DurableState): number {
  return state.snapshot.lastIndex + state.log.length;
}
