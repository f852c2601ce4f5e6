import type Declaration from '@guavayard/core/registry/Declaration';
import readTenantTable from '@guavayard/core/tenants/readTenantTable';
import TenantDirectory from '@guavayard/core/tenants/TenantDirectory';

/** Tenants of the declaration in force, read once when it comes into force. */
export default class TenantSource {
  private source = '';

  private current: TenantDirectory | undefined;

  /** Tenants of the declaration in force, undefined if it has none. */
  get directory(): TenantDirectory | undefined {
    return this.current;
  }

  /**
   * Applies a declaration.
   *
   * @param declaration - the declaration in force, undefined as long as none is known
   */
  update(declaration: Declaration | undefined): void {
    const source = declaration?.source ?? '';
    if (source === this.source) return;
    this.source = source;
    const table = readTenantTable(source);
    this.current = table === undefined ? undefined : new TenantDirectory(table);
  }
}
