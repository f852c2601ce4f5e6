import * as z from 'zod';

import VmIdentity from './VmIdentity';

/** Frames of the handshake, which must complete before any message is accepted. */
const Handshake = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('hello'), nonce: z.string().length(32), identity: VmIdentity }),
  z.strictObject({ kind: z.literal('proof'), proof: z.string().length(64) }),
]);
type Handshake = z.infer<typeof Handshake>;

export default Handshake;
