import type { IncomingMessage } from 'node:http';

import type DeclaredRoute from '@guavayard/core/registry/DeclaredRoute';

/** A caller's request that has a route. */
interface GatewayRequest {
  readonly req: IncomingMessage;
  readonly requestId: string;
  /** What stays the same when the caller sends the request again. */
  readonly fingerprint: string;
  readonly method: string;
  readonly path: string;
  readonly routeName: string;
  readonly route: DeclaredRoute;
  readonly service: string;
  /** Version of the declaration that the route was found in. */
  readonly version: number;
  readonly arrivedAtMs: number;
  /** When the caller stops waiting, in milliseconds of the monotonic clock. */
  readonly callerDeadlineMs: number;
  /** When the request is answered in any case: the caller's time or the route's is over. */
  readonly deadlineMs: number;
}

export default GatewayRequest;
