import * as z from 'zod';

import ExternalName from '../types/ExternalName';
import Rollout from './Rollout';

const Step = { service: ExternalName, number: Rollout.shape.number };

/** Steps of roll-outs, as stored in the replicated log. From version 5 of the messages on. */
const rolloutChanges = [
  /** An operator's order. The versions in force are those registered when it is applied. */
  z.strictObject({
    kind: z.literal('startRollout'),
    service: ExternalName,
    ...Rollout.pick({
      targetVersion: true, durationMs: true, canaryShare: true, orderedAtMs: true,
    }).shape,
  }),
  /** All requests go to the target version, after a time that lets all entries know of it. */
  z.strictObject({ kind: z.literal('switchRollout'), ...Step, afterMs: z.number().min(0) }),
  z.strictObject({ kind: z.literal('completeRollout'), ...Step }),
  z.strictObject({ kind: z.literal('rollBackRollout'), ...Step }),
] as const;

export default rolloutChanges;
