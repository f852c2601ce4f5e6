import * as z from 'zod';

import KeyDecision from '@guavayard/core/idempotency/KeyDecision';
import KeyOutcome from '@guavayard/core/idempotency/KeyOutcome';
import KeyRecord from '@guavayard/core/idempotency/KeyRecord';
import KeyView from '@guavayard/core/idempotency/KeyView';
import LossHorizon from '@guavayard/core/idempotency/LossHorizon';

const Id = z.string().max(64);

/** Messages by which entries prevent requests with an idempotency key from running twice. */
const idempotencyMessages = [
  /** An entry asks the owner of a key whether a request may run. Retried until decided. */
  z.strictObject({ kind: z.literal('keyClaim'), record: KeyRecord }),
  z.strictObject({ kind: z.literal('keyDecision'), claimId: Id, decision: KeyDecision }),
  /** The owner replicates a record to a backup. */
  z.strictObject({
    kind: z.literal('keyBackup'), operation: z.int(), view: KeyView, record: KeyRecord,
  }),
  z.strictObject({
    kind: z.literal('keyBackedUp'), operation: z.int(), view: KeyView, isAccepted: z.boolean(),
  }),
  /** The entry that ran a request reports its outcome to all replicas of the key. */
  z.strictObject({
    kind: z.literal('keyOutcome'), key: Id, claimId: Id, outcome: KeyOutcome,
  }),
  /** A member of a new view requests the records that it has to hold in that view. */
  z.strictObject({ kind: z.literal('keyCopyRequest'), view: KeyView }),
  z.strictObject({
    kind: z.literal('keyCopy'),
    view: KeyView,
    startId: Id,
    records: z.array(KeyRecord),
    horizons: z.array(LossHorizon),
    isInformed: z.boolean(),
  }),
  /** The sender has received every copy of a view. */
  z.strictObject({
    kind: z.literal('keySettled'),
    view: KeyView,
    startId: Id,
    /** Whether the sender knows this of every member. If not, it expects this message in return. */
    isWhole: z.boolean(),
  }),
] as const;

export default idempotencyMessages;
