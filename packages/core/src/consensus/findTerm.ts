import type DurableState from './DurableState';

/**
 * @param state - the replica
 * @param index - index of an entry
 * @returns the term of the entry, or undefined if it is compacted away or not there yet
 */
export default function findTerm(state: DurableState, index: number): number | undefined {
  const { lastIndex, lastTerm } = state.snapshot;
  if (index === lastIndex) return lastTerm;
  return state.log[index - lastIndex - 1]?.term;
}
