import type DeclaredTenant from './DeclaredTenant';
import hashKey from './hashKey';
import type TenantTable from './TenantTable';

/** Tenants of the declaration in force, by the hashes of their keys. */
export default class TenantDirectory {
  private readonly byHash = new Map<string, DeclaredTenant>();

  private readonly publicRoutes: ReadonlySet<string>;

  /** @param table - tenants and public routes of a declaration */
  constructor({ tenants, publicRoutes }: TenantTable) {
    tenants.forEach((tenant) => {
      tenant.keyHashes.forEach((hash) => this.byHash.set(hash, tenant));
    });
    this.publicRoutes = new Set(publicRoutes);
  }

  /** Number of keys. */
  get keyCount(): number {
    return this.byHash.size;
  }

  /**
   * Finds the tenant that holds a key.
   *
   * @param key - the key as it stands in the header
   * @returns the tenant, undefined if no tenant holds the key
   */
  findTenant(key: string): DeclaredTenant | undefined {
    return this.byHash.get(hashKey(key));
  }

  /**
   * Returns whether requests of a route need no key.
   *
   * @param routeName - name of the route
   */
  isPublic(routeName: string): boolean {
    return this.publicRoutes.has(routeName);
  }
}
