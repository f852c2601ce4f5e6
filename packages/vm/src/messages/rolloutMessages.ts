import * as z from 'zod';

import RolloutCounts from '@guavayard/core/rollouts/RolloutCounts';

/** Messages by which entries tell what they have counted during roll-outs. From version 5 on. */
const rolloutMessages = [
  /** An entry tells the control VM that it follows, which passes it on to the leader. */
  z.strictObject({
    kind: z.literal('rolloutCounts'),
    entry: z.string().min(1).max(128),
    counts: RolloutCounts,
    isRelayed: z.boolean(),
  }),
] as const;

export default rolloutMessages;
