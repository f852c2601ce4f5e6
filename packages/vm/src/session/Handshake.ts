import * as z from 'zod';

import VmIdentity from './VmIdentity';

const NONCE_BYTES = 16;
const PROOF_BYTES = 32;

function hexOf(bytes: number): z.ZodString {
  return z.string().regex(new RegExp(`^[0-9a-f]{${bytes * 2}}$`));
}

/** Frames of the handshake, which must complete before any message is accepted. */
const Handshake = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('hello'), nonce: hexOf(NONCE_BYTES), identity: VmIdentity }),
  z.strictObject({ kind: z.literal('proof'), proof: hexOf(PROOF_BYTES) }),
]);
type Handshake = z.infer<typeof Handshake>;

export default Handshake;
