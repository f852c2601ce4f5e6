import * as z from 'zod';

import ExternalName from '../types/ExternalName';

/** Requests that were admitted before a control VM started, by their age and by tenant. */
const QuotaHistory = z.array(z.strictObject({
  /** Time since the requests arrived, in milliseconds. */
  ageMs: z.int().min(0),
  admitted: z.record(ExternalName, z.int()),
}));
type QuotaHistory = z.infer<typeof QuotaHistory>;

export default QuotaHistory;
