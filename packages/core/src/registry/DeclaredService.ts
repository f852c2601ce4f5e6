import * as z from 'zod';

/** Service of a declaration. */
const DeclaredService = z.strictObject({
  /** Path of the health check that probes request. */
  healthPath: z.string(),
  /** Maximum number of connections that a target accepts from all entries in total. */
  connectionLimit: z.number(),
  /** Duration of the warm-up, during which a target is cold after its start. */
  coldMs: z.number(),
  /** Requests per second that a cold target can serve. */
  coldRequestsPerSecond: z.number(),
});
type DeclaredService = z.infer<typeof DeclaredService>;

export default DeclaredService;
