import * as z from 'zod';

import ServiceObjectives from './ServiceObjectives';

const DEFAULT_TIMEOUT_MS = 30_000;
const MAX_TIMEOUT_MS = 600_000;

/** Configuration of a service. */
const Service = z.strictObject({
  /** Timeout of a request in milliseconds, unless the caller requests a shorter one. */
  timeoutMs: z.int().min(1).max(MAX_TIMEOUT_MS).default(DEFAULT_TIMEOUT_MS),
  /** Service-level objectives, against which the burn report measures the service. */
  objectives: ServiceObjectives.optional(),
});
type Service = z.infer<typeof Service>;

export default Service;
