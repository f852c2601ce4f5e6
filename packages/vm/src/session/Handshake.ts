import * as z from 'zod';

import handshakeLimits from './handshakeLimits';
import VmIdentity from './VmIdentity';

function hexOf(bytes: number): z.ZodString {
  return z.string().regex(new RegExp(`^[0-9a-f]{${bytes * 2}}$`));
}

/** Frames of the handshake, which must complete before any message is accepted. */
const Handshake = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('hello'), nonce: hexOf(handshakeLimits.nonceBytes), identity: VmIdentity,
  }),
  z.strictObject({ kind: z.literal('proof'), proof: hexOf(handshakeLimits.proofBytes) }),
]);
type Handshake = z.infer<typeof Handshake>;

export default Handshake;
