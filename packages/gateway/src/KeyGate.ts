import { Ok, type Result } from 'ts-results';

import fail from '@guavayard/core/errors/fail';
import type Failure from '@guavayard/core/errors/Failure';
import type DeclaredTenant from '@guavayard/core/tenants/DeclaredTenant';
import type TenantDirectory from '@guavayard/core/tenants/TenantDirectory';

import type Dialect from './Dialect';
import type GatewayRequest from './GatewayRequest';
import type TargetRequestMetadata from './TargetRequestMetadata';

interface KeyGateOptions {
  readonly dialect: Pick<Dialect, 'readKeys'>;
  /** Returns the tenants of the declaration in force, undefined if it has none. */
  readonly directory: () => TenantDirectory | undefined;
  /** Returns whether the declaration is recent enough to decide about keys. */
  readonly isProven: () => boolean;
}

/**
 * Decides which tenant a request is of, by the declaration in force at the moment. Requests carry
 * their key along, so it is looked up anew before each send.
 */
export default class KeyGate {
  private refused = 0;

  private unproven = 0;

  /** @param options - the tenants in force and the proof that they are recent */
  constructor(private readonly options: KeyGateOptions) {}

  /** Number of times that a request was refused for its key. */
  get refusedCount(): number {
    return this.refused;
  }

  /** Number of times that a request was refused as its key could not be confirmed. */
  get unprovenCount(): number {
    return this.unproven;
  }

  /** Number of keys in force. */
  get keyCount(): number {
    return this.options.directory()?.keyCount ?? 0;
  }

  /** Whether the declaration in force has tenants. */
  get hasTenants(): boolean {
    return this.options.directory() !== undefined;
  }

  /**
   * Finds the tenant of a request.
   *
   * @param rawHeaders - alternating names and values, as received from the caller
   * @param routeName - name of the matching route
   * @returns the tenant; undefined on a public route and without tenants; `unauthorized` if the
   *   request does not carry exactly one valid key; `keysUnproven` if that cannot be decided
   */
  findTenant(
    rawHeaders: readonly string[],
    routeName: string,
  ): Result<DeclaredTenant | undefined, Failure> {
    const { dialect, directory, isProven } = this.options;
    const tenants = directory();
    if (tenants === undefined || tenants.isPublic(routeName)) return Ok(undefined);
    const keys = dialect.readKeys(rawHeaders);
    const [key] = keys;
    if (key === undefined) return this.refuse('the request has no key');
    if (keys.length > 1) return this.refuse('the request has several keys');
    // An unknown key may have been added since, so that is not decided without a proof either.
    if (!isProven()) {
      this.unproven += 1;
      return fail('keysUnproven');
    }
    const tenant = tenants.findTenant(key);
    return tenant === undefined ? this.refuse('the key is unknown') : Ok(tenant);
  }

  private refuse(detail: string): Result<never, Failure> {
    this.refused += 1;
    return fail('unauthorized', detail);
  }

  /**
   * Checks the key of a request again, right before the request is sent.
   *
   * @param request - the accepted request
   * @returns why it must not be sent, undefined if it may be
   */
  findRefusal(request: Pick<GatewayRequest, 'req' | 'routeName' | 'tenant'>): Failure | undefined {
    const tenant = this.findTenant(request.req.rawHeaders, request.routeName);
    if (tenant.err) return tenant.val;
    if (tenant.val?.name === request.tenant?.name) return undefined;
    // Limits and regions of the former tenant were applied; the caller's retry is of the new one.
    return { kind: 'keysUnproven', detail: 'the key is of another tenant now' };
  }

  /**
   * Returns what the target is told of the tenant of a request.
   *
   * @param request - the request that is about to be sent
   */
  describeTenant({ tenant }: Pick<GatewayRequest, 'tenant'>): Pick<TargetRequestMetadata, 'tenant'> {
    return this.options.directory() === undefined ? {} : { tenant: { label: tenant?.label } };
  }
}
