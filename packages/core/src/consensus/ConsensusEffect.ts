import type ConsensusMessage from './ConsensusMessage';
import type ConsensusRecord from './ConsensusRecord';
import type ConsensusSnapshot from './ConsensusSnapshot';
import type LogEntry from './LogEntry';
import type ReplicaId from './ReplicaId';

/**
 * What a step asks for. All writes of a step must be synced before any other effect of it is
 * carried out, for messages and commits are promises about the log and the vote.
 *
 * - `write`: appends a record to the durable log
 * - `send`: sends a message to another replica
 * - `commit`: entries are committed, in order
 * - `restore`: the state of a leader's snapshot replaces what was applied so far
 * - `proposed`: a proposal is in the log; it is accepted once its index commits in its term
 * - `refused`: this replica cannot serve the proposal or the read
 * - `readReady`: what is applied up to the index includes all that was accepted before the read
 * - `leader`: another replica leads, or none is known
 */
type ConsensusEffect = { readonly kind: 'write'; readonly record: ConsensusRecord }
  | { readonly kind: 'send'; readonly to: ReplicaId; readonly message: ConsensusMessage }
  | { readonly kind: 'commit'; readonly entries: readonly LogEntry[] }
  | { readonly kind: 'restore'; readonly snapshot: ConsensusSnapshot }
  | {
    readonly kind: 'proposed';
    readonly token: number;
    readonly index: number;
    readonly term: number;
  }
  | { readonly kind: 'refused'; readonly token: number }
  | { readonly kind: 'readReady'; readonly token: number; readonly index: number }
  | { readonly kind: 'leader'; readonly leader: ReplicaId | undefined };

export default ConsensusEffect;
