import { createHmac } from 'node:crypto';

/**
 * Computes the proof that a side of a session knows the shared key.
 *
 * The role is part of the proof so that one side's proof cannot be reflected to it.
 *
 * @param key - the shared key
 * @param role - side that proves
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
