import type InboundRequest from '@guavayard/core/dispatch/InboundRequest';
import type DeclaredRoute from '@guavayard/core/registry/DeclaredRoute';
import type DeclaredTenant from '@guavayard/core/tenants/DeclaredTenant';

import type QuotaCredit from './QuotaCredit';

/** A caller's request that matched a route. */
interface GatewayRequest {
  readonly req: InboundRequest;
  readonly requestId: string;
  /** Digest of what stays the same when the caller sends the request again. */
  readonly fingerprint: string;
  readonly method: string;
  readonly path: string;
  readonly routeName: string;
  /** The route, with priority and home regions as they apply to the tenant. */
  readonly route: DeclaredRoute;
  readonly service: string;
  /** Whether it was chosen for the target version of a roll-out. */
  readonly isCanary: boolean;
  /** Tenant that holds the key of the request; undefined on public routes and without tenants. */
  readonly tenant?: DeclaredTenant | undefined;
  /** What it takes from the quota of its tenant; undefined if it has none. */
  readonly quota?: QuotaCredit | undefined;
  /** Maximum size of the body, in bytes. */
  readonly maxBodyBytes: number;
  /** Version of the declaration that contains the route. */
  readonly version: number;
  readonly arrivedAtMs: number;
  /** When the caller stops waiting, in milliseconds of the monotonic clock. */
  readonly callerDeadlineMs: number;
  /** The earlier of the caller's deadline and the end of the route's timeout. */
  readonly deadlineMs: number;
  /** The entry that relayed the request; undefined if the caller is connected to this one. */
  readonly relayedBy: string | undefined;
  /** Targets that the entry which relayed the request has sent it to. */
  readonly triedIds: readonly string[];
  /** Targets of whose request limit that entry has given up one request for this one. */
  readonly permittedIds: readonly string[];
}

export default GatewayRequest;
