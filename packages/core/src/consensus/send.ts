import type ConsensusMessage from './ConsensusMessage';
import type ConsensusState from './ConsensusState';
import type ReplicaId from './ReplicaId';

/**
 * Queues a message, to be sent once the writes of the current step are synced.
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
