import * as z from 'zod';

import KeyMember from './KeyMember';

/** Members that were lost together. Keys whose replicas were all on lost members may have run. */
const LossHorizon = z.strictObject({
  /** Members before the loss; empty if every key may be affected. */
  members: z.array(KeyMember),
  /** Start ids of the lost members. */
  lost: z.array(z.string()),
  /** Remaining time until all keys from before the loss have expired, in milliseconds. */
  expiresInMs: z.number(),
});
type LossHorizon = z.infer<typeof LossHorizon>;

export default LossHorizon;
