import type DeclaredTenant from '../tenants/DeclaredTenant';

/** The part of a tenant that its quota depends on. */
type TenantLimit = Pick<DeclaredTenant, 'name' | 'ratePerSecond' | 'burst'>;

export default TenantLimit;
