import * as z from 'zod';

import DeclaredTenant from './DeclaredTenant';

/** Tenants of a declaration and the routes that need no key, as control VMs publish them. */
const TenantTable = z.strictObject({
  tenants: z.array(DeclaredTenant),
  /** Names of the routes whose requests carry no key. */
  publicRoutes: z.array(z.string()),
});
type TenantTable = z.infer<typeof TenantTable>;

export default TenantTable;
