import * as z from 'zod';

import Name from './Name';

/** Data centre: its region and whether operators have taken it out of service. */
const DataCentre = z.strictObject({
  region: Name,
  state: z.enum(['in', 'out']),
});
type DataCentre = z.infer<typeof DataCentre>;

export default DataCentre;
