import type ConsensusState from './ConsensusState';
import type ReplicaId from './ReplicaId';

/**
 * Sets the term and the vote, and requests a durable write of them.
 *
 * @param state - the replica
 * @param term - the new term
 * @param votedFor - the replica voted for in the term, undefined if it has not voted
 */
export default function setTerm(
  state: ConsensusState,
  term: number,
  votedFor: ReplicaId | undefined,
): void {
  state.term = term;
  state.votedFor = votedFor;
  if (state.syncsLate) state.unsyncedVotes += 1;
  state.outbox.push({ kind: 'write', record: { kind: 'vote', term, votedFor } });
}
