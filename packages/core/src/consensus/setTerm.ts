import type ConsensusState from './ConsensusState';
import type ReplicaId from './ReplicaId';

/**
 * Sets term and vote, durably.
 *
 * @param state - the replica
 * @param term - the new term
 * @param votedFor - whom the replica votes for in the term, if anybody
 */
export default function setTerm(
  state: ConsensusState,
  term: number,
  votedFor: ReplicaId | undefined,
): void {
  state.term = term;
  state.votedFor = votedFor;
  state.outbox.push({ kind: 'write', record: { kind: 'vote', term, votedFor } });
}
