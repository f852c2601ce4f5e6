import type ConfigurationSnapshot from '../configuration/ConfigurationSnapshot';
import type Command from './Command';
import type ConsensusMessage from './ConsensusMessage';
import type ReplicaId from './ReplicaId';

/**
 * Input of a replica:
 *
 * - `tick`: the time has advanced, in milliseconds of a monotonic clock
 * - `message`: a message from another replica has arrived
 * - `propose`: append a command if this replica leads; the effects for it carry the token
 * - `read`: request a read index confirmed by a quorum
 * - `join`: a replica that is not a member requests to become one
 * - `leave`: a member is about to stop
 * - `compact`: replace the entries up to an applied index by a snapshot of their result
 * - `connected`: a session with another VM has been opened
 * - `synced`: a write has been synced: the log up to an entry, and a number of records of the term
 *   and the vote
 */
type ConsensusEvent = { readonly kind: 'tick'; readonly nowMs: number }
  | {
    readonly kind: 'message';
    readonly from: ReplicaId;
    readonly message: ConsensusMessage;
    /** When it has arrived, in milliseconds; by default the time of the last tick. */
    readonly nowMs?: number;
  }
  | { readonly kind: 'propose'; readonly token: number; readonly command: Command }
  | { readonly kind: 'read'; readonly token: number }
  | { readonly kind: 'join'; readonly replica: ReplicaId }
  | { readonly kind: 'leave'; readonly replica: ReplicaId }
  | { readonly kind: 'connected'; readonly vmName: string }
  | { readonly kind: 'compact'; readonly index: number; readonly data: ConfigurationSnapshot }
  | {
    readonly kind: 'synced';
    readonly nowMs: number;
    readonly lastIndex: number;
    readonly lastTerm: number | undefined;
    readonly votes: number;
    readonly durationMs: number;
  };

export default ConsensusEvent;
