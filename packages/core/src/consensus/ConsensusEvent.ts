import type ConfigurationSnapshot from '../configuration/ConfigurationSnapshot';
import type Command from './Command';
import type ConsensusMessage from './ConsensusMessage';
import type ReplicaId from './ReplicaId';

/**
 * What happens to a replica:
 *
 * - `tick`: time has gone on, in milliseconds of a monotonic clock
 * - `message`: another replica sent a message
 * - `propose`: appends a command if this replica leads; the token comes back with the outcome
 * - `read`: asks for a read index that a quorum confirms
 * - `join`: a replica that is not a member asks to become one
 * - `compact`: replaces the entries up to an applied index by what they did
 */
type ConsensusEvent = { readonly kind: 'tick'; readonly nowMs: number }
  | { readonly kind: 'message'; readonly from: ReplicaId; readonly message: ConsensusMessage }
  | { readonly kind: 'propose'; readonly token: number; readonly command: Command }
  | { readonly kind: 'read'; readonly token: number }
  | { readonly kind: 'join'; readonly replica: ReplicaId }
  | { readonly kind: 'compact'; readonly index: number; readonly data: ConfigurationSnapshot };

export default ConsensusEvent;
