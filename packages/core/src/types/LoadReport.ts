import { z } from 'zod';

import Name from './Name';

/** Changes of the requests that one entry has in flight, told to the entries of its region. */
const LoadReport = z.strictObject({
  loads: z.array(z.strictObject({ targetId: Name, inFlight: z.int().min(0) })),
});
type LoadReport = z.infer<typeof LoadReport>;

export default LoadReport;
