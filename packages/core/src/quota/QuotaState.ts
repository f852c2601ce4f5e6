import * as z from 'zod';

import ExternalName from '../types/ExternalName';
import QuotaCount from './QuotaCount';

/** What a control VM tells another one of the quotas when a session opens. */
const QuotaState = z.strictObject({
  /** Time since it started, in milliseconds. */
  uptimeMs: z.int().min(0),
  /** Requests that entries have reported to it since its start, by tenant. */
  totals: z.record(ExternalName, QuotaCount),
  /** Requests that tenants may have admitted beyond their rates, as it sees them. */
  levels: z.record(ExternalName, z.int()),
});
type QuotaState = z.infer<typeof QuotaState>;

export default QuotaState;
