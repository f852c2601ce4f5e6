import type ConsensusMessage from './ConsensusMessage';
import type ConsensusState from './ConsensusState';
import type ReplicaId from './ReplicaId';

/**
 * Sends a message once the writes of the step are synced.
 *
 * @param state - the replica
 * @param to - the receiver
 * @param message - the message
 */
export default function send(
  state: ConsensusState,
  to: ReplicaId,
  message: ConsensusMessage,
): void {
  state.outbox.push({ kind: 'send', to, message });
}
