import type ConsensusMessage from './ConsensusMessage';
import type ConsensusRecord from './ConsensusRecord';
import type ConsensusSnapshot from './ConsensusSnapshot';
import type LogEntry from './LogEntry';
import type ReplicaId from './ReplicaId';

/**
 * Side effect requested by a step. All writes of a step must be synced before any of its other
 * effects is executed, because messages and commits rely on the log and the vote being durable.
 *
 * - `write`: append a record to the durable log
 * - `send`: send a message to another replica
 * - `commit`: apply newly committed entries, in order
 * - `restore`: replace the applied state by the state in the leader's snapshot
 * - `proposed`: the proposal is in the log, and is accepted once its index commits in its term
 * - `refused`: this replica does not lead, so it cannot serve the proposal or the read
 * - `readReady`: the read may be served once the index is applied: that state includes everything
 *   accepted before the read
 * - `leader`: the known leader has changed, or is no longer known
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
