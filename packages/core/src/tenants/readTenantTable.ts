import TenantTable from './TenantTable';

/** What entries apply if a table cannot be read: no key is valid, so nothing runs without one. */
const NO_KEYS: TenantTable = { tenants: [], publicRoutes: [] };

/**
 * Reads the tenants that control published with a declaration.
 *
 * @param source - `source` of the published declaration
 * @returns the tenants, undefined if the declaration has none
 */
export default function readTenantTable(source: string): TenantTable | undefined {
  if (source === '') return undefined;
  try {
    return TenantTable.parse(JSON.parse(source));
  } catch {
    return NO_KEYS;
  }
}
