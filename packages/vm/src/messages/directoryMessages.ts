import * as z from 'zod';

import Name from '@guavayard/core/types/Name';
import TargetRecord from '@guavayard/core/types/TargetRecord';

/** Messages by which entries replicate the directory of targets. */
const directoryMessages = [
  /** All records whose heartbeats the sender receives, sent when a session opens. */
  z.strictObject({ kind: z.literal('targetsHeld'), records: z.array(TargetRecord) }),
  /** Records of the sender that have changed since they were last sent. */
  z.strictObject({ kind: z.literal('targetsChanged'), records: z.array(TargetRecord) }),
  /** The sender no longer receives heartbeats of these targets; expired ones have timed out. */
  z.strictObject({
    kind: z.literal('targetsReleased'), targetIds: z.array(Name), isExpired: z.boolean(),
  }),
  /** All targets that the sender holds have sent heartbeats within their time to live. */
  z.strictObject({ kind: z.literal('targetsAlive') }),
  /** Forwards a heartbeat to the entry that holds the target's record. */
  z.strictObject({
    kind: z.literal('targetHeartbeat'), targetId: Name, startId: z.string().max(64),
  }),
  /** The sender is shutting down and no longer acts as the owner of any target. */
  z.strictObject({ kind: z.literal('ownershipReleased') }),
] as const;

export default directoryMessages;
