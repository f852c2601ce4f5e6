import type DurableState from './DurableState';

/**
 * Finds the term of a log entry.
 *
 * @param state - the replica
 * @param index - index of an entry
 * @returns the term, or undefined if the entry is compacted or not in the log yet
 */
export default function findTerm(state: DurableState, index: number): number | undefined {
  const { lastIndex, lastTerm } = state.snapshot;
  if (index === lastIndex) return lastTerm;
  return state.log[index - lastIndex - 1]?.term;
}
