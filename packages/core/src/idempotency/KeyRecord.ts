import * as z from 'zod';

import StoredAnswer from './StoredAnswer';

/**
 * State of the request with one idempotency key. Durations are relative to the time at which the
 * record is sent, because members share no clock.
 */
const KeyRecord = z.strictObject({
  key: z.string().max(64),
  /** Hash of the request; reusing the key with a different request is an error. */
  fingerprint: z.string().max(64),
  /** Claim of the only arrival of the request that may run. */
  claimId: z.string().max(64),
  /** Start id of the entry that runs it. */
  runner: z.string().max(64),
  /** `pending`: may be running; `done`: ran and was answered; `unknown`: may have run. */
  state: z.enum(['pending', 'done', 'unknown']),
  /** Remaining time until the record expires, in milliseconds. */
  expiresInMs: z.number(),
  /** Remaining time of the run, in milliseconds; afterwards a pending record is `unknown`. */
  runLeftMs: z.number(),
  /** The response; missing if it is too large to be stored. */
  answer: StoredAnswer.optional(),
});
type KeyRecord = z.infer<typeof KeyRecord>;

export default KeyRecord;
