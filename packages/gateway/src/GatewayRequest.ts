import type { IncomingMessage } from 'node:http';

import type DeclaredRoute from '@guavayard/core/registry/DeclaredRoute';

/** A caller's request that matched a route. */
interface GatewayRequest {
  readonly req: IncomingMessage;
  readonly requestId: string;
  /** Digest of what stays the same when the caller sends the request again. */
  readonly fingerprint: string;
  readonly method: string;
  readonly path: string;
  readonly routeName: string;
  readonly route: DeclaredRoute;
  readonly service: string;
  /** Version of the declaration that contains the route. */
  readonly version: number;
  readonly arrivedAtMs: number;
  /** When the caller stops waiting, in milliseconds of the monotonic clock. */
  readonly callerDeadlineMs: number;
  /** The earlier of the caller's deadline and the end of the route's timeout. */
  readonly deadlineMs: number;
}

export default GatewayRequest;
