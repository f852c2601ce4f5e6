import type VmMessage from '@guavayard/vm/messages/VmMessage';
import findProtocolVersion from '@guavayard/vm/session/findProtocolVersion';
import protocolVersion from '@guavayard/vm/session/protocolVersion';
import type VmIdentity from '@guavayard/vm/session/VmIdentity';

const NOVELTY = 'novelty';

/** A message as the variant sends it to VMs of its own version. */
function addNovelty(message: VmMessage): object {
  if (message.kind !== 'consensus') return message;
  const { message: inner } = message;
  if (inner.kind === 'append') return { ...message, message: { ...inner, novelty: NOVELTY } };
  if (inner.kind !== 'appendAnswer') return message;
  const isAccepted = inner.isAccepted ? 'novel' : false;
  return { ...message, message: { ...inner, isAccepted, novelty: NOVELTY } };
}

/**
 * Sends a message in the form that the peer understands. A VM of the variant's version gets further
 * fields, a further value, and after each consensus message one of a further kind.
 *
 * @param message - the message to send
 * @param peer - identity that the VM has presented
 * @param send - sends one message
 */
export default function sendAdapted(
  message: VmMessage,
  peer: VmIdentity,
  send: (message: object) => void,
): void {
  if (findProtocolVersion(peer) < protocolVersion) {
    send(message);
    return;
  }
  send(addNovelty(message));
  if (message.kind === 'consensus') send({ kind: 'novelty', text: NOVELTY });
}
