import * as z from 'zod';

import ExternalName from '../types/ExternalName';

/** Tenant of a declaration: who may send requests with a key, and how many. */
const DeclaredTenant = z.strictObject({
  name: ExternalName,
  /** Its name exactly as declared, which targets get. */
  label: z.string(),
  /** SHA-256 digests of its keys, in base64url. */
  keyHashes: z.array(z.string()),
  /** Priority of its requests instead of that of their route; 0 is the highest. */
  priority: z.number().optional(),
  /** Requests per second that all entries together admit; 0 if there is no limit. */
  ratePerSecond: z.number().min(0),
  /** Requests that may be admitted beyond the rate after a time with fewer; 0: no limit. */
  burst: z.number().min(0),
  /** Regions that may serve its requests; undefined if every region may. */
  homeRegions: z.array(ExternalName).min(1).optional(),
});
type DeclaredTenant = z.infer<typeof DeclaredTenant>;

export default DeclaredTenant;
