import * as z from 'zod';

/** Maximum size of a report, in bytes. */
const MAX_BYTES = 16 * 1024;

/**
 * Changes in the number of in-flight requests of one entry, sent to the entries of its region.
 * Encoded by `packLoads` and decoded by `unpackLoads` in a binary format: at several dozen reports
 * per second to each entry, field names would take most of the byte budget.
 */
const LoadReport = z.instanceof(Uint8Array)
  .refine((report) => report.length <= MAX_BYTES, `expected at most ${MAX_BYTES} bytes`);
type LoadReport = z.infer<typeof LoadReport>;

export default LoadReport;
