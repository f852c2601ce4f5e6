import { z } from 'zod';

/** Longest packed report, in bytes. */
const MAX_BYTES = 16 * 1024;

/**
 * Changes of the requests that one entry has in flight, told to the entries of its region.
 *
 * `loads` is packed by `packLoads` and read by `unpackLoads`.
 */
const LoadReport = z.strictObject({
  loads: z.instanceof(Uint8Array).refine((loads) => loads.length <= MAX_BYTES),
});
type LoadReport = z.infer<typeof LoadReport>;

export default LoadReport;
