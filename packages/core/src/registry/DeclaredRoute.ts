import * as z from 'zod';

import ExternalName from '../types/ExternalName';

/** Service that a route sends requests to, with its relative share of them. */
const Backend = z.strictObject({ service: ExternalName, weight: z.number().min(0) });

/** Route of a declaration: which requests it matches and how they are handled. */
const DeclaredRoute = z.strictObject({
  host: z.string(),
  pathPrefix: z.string(),
  /** Whether it is safe to run a request more than once. */
  isIdempotent: z.boolean(),
  /** Maximum time until a caller gets a response. */
  timeoutMs: z.number(),
  /** Latency objective: a response within this time has its full value to the caller. */
  targetLatencyMs: z.number(),
  /** Priority among routes; 0 is the highest. */
  priority: z.number(),
  /** Maximum number of targets that a request may be sent to. */
  maxAttempts: z.number(),
  backends: z.array(Backend),
  /** Regions that may serve the requests; undefined if every region may. */
  homeRegions: z.array(ExternalName).min(1).optional(),
});
type DeclaredRoute = z.infer<typeof DeclaredRoute>;

export default DeclaredRoute;
