import type Declaration from '@guavayard/core/registry/Declaration';
import type DeclaredTenant from '@guavayard/core/tenants/DeclaredTenant';

/**
 * Creates a function that returns the tenants in force. It decodes each declaration once, and
 * returns the same array as long as the declaration stays.
 *
 * @param declaration - returns the declaration in force, undefined as long as none is known
 * @param decode - reads the tenants from the source of a declaration
 * @returns the function
 */
export default function createTenantReader(
  declaration: () => Declaration | undefined,
  decode: (source: string) => readonly DeclaredTenant[],
): () => readonly DeclaredTenant[] {
  let known: Declaration | undefined;
  let tenants: readonly DeclaredTenant[] = [];
  return () => {
    const current = declaration();
    if (current !== known) {
      known = current;
      tenants = current === undefined ? [] : decode(current.source);
    }
    return tenants;
  };
}
