import type ConsensusState from './ConsensusState';
import type ReplicaId from './ReplicaId';

/** What decides whether a replica can be elected. */
interface ElectionState {
  readonly role: ConsensusState['role'];
  readonly term: number;
  /** Index of the last entry of the log. */
  readonly lastIndex: number;
  readonly commitIndex: number;
  readonly voters: readonly ReplicaId[];
  readonly learners: readonly ReplicaId[];
  /** Voters that have granted the latest pre-vote or vote. */
  readonly votes: readonly ReplicaId[];
}

export default ElectionState;
