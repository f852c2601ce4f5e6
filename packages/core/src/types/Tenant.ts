import * as z from 'zod';

import Name from './Name';

/** Restricts the requests of a tenant to its home regions, regardless of the route. */
const Tenant = z.strictObject({
  homeRegions: z.array(Name).min(1),
});
type Tenant = z.infer<typeof Tenant>;

export default Tenant;
