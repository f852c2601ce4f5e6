import { createHmac } from 'node:crypto';

/**
 * Computes the proof that one side of a session knows the shared key.
 *
 * The proof covers the role, so that it cannot be reflected to the side that sent it.
 *
 * @param key - the shared key
 * @param role - role of the proving side
 * @param ownNonce - nonce that the proving side sent
 * @param peerNonce - nonce that the other side sent
 * @returns the HMAC in hexadecimal
 */
export default function computeProof(
  key: string,
  role: 'client' | 'server',
  ownNonce: string,
  peerNonce: string,
): string {
  return createHmac('sha256', key).update(`${role}:${ownNonce}:${peerNonce}`).digest('hex');
}
