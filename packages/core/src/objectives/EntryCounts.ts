import * as z from 'zod';

import Name from '../types/Name';
import ServiceCounts from './ServiceCounts';

/** Request counts of one entry since its start. */
const EntryCounts = z.strictObject({
  entry: Name,
  dataCentre: Name,
  /** Uptime of the process, in milliseconds. Longer windows are covered only in part. */
  uptimeMs: z.int().min(0),
  services: z.array(ServiceCounts),
});
type EntryCounts = z.infer<typeof EntryCounts>;

export default EntryCounts;
