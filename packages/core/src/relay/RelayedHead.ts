import * as z from 'zod';

import Name from '../types/Name';

/** Everything but the body of a request that an entry relays to another one. */
const RelayedHead = z.strictObject({
  /** The request that a target gets. */
  requestId: z.string().max(1024),
  method: z.string().max(32),
  path: z.string(),
  /** Alternating names and values, as received from the caller. */
  rawHeaders: z.array(z.string()),
  /** Address of the caller. */
  caller: z.string().max(64),
  hasBody: z.boolean(),
  service: Name,
  /** Time left until the deadline of the request, in milliseconds. */
  remainingMs: z.number(),
  /** Targets that earlier attempts were sent to. */
  triedIds: z.array(z.string().max(128)).max(64),
  /**
   * Targets that name a request limit, of which the entry that relays the request gives up one
   * request of its share.
   */
  permittedIds: z.array(z.string().max(128)).max(8),
  /** Probes that it gives up of its share of the limit on probes. */
  probes: z.int().min(0).max(16),
});
type RelayedHead = z.infer<typeof RelayedHead>;

export default RelayedHead;
