import type ConsensusRecord from './ConsensusRecord';
import type DurableState from './DurableState';

/**
 * @param state - durable state of a replica
 * @returns the fewest records that stand for it
 */
export default function createRecords(state: DurableState): ConsensusRecord[] {
  const { snapshot, term, votedFor } = state;
  return [
    { kind: 'snapshot', snapshot },
    { kind: 'vote', term, votedFor },
    ...(state.log.length > 0 ? [{ kind: 'append' as const, entries: [...state.log] }] : []),
  ];
}
