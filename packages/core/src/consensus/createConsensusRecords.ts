import type ConsensusRecord from './ConsensusRecord';
import type DurableState from './DurableState';

/**
 * Converts durable state to records, as written when the log is created or compacted.
 *
 * @param state - durable state of a replica
 * @returns the minimal list of records that restores the state
 */
export default function createConsensusRecords(state: DurableState): ConsensusRecord[] {
  const { snapshot, term, votedFor } = state;
  return [
    { kind: 'snapshot', snapshot },
    { kind: 'vote', term, votedFor },
    ...(state.log.length > 0 ? [{ kind: 'append' as const, entries: [...state.log] }] : []),
  ];
}
