import type { IncomingMessage } from 'node:http';

import type RouteMatch from '@guavayard/core/routing/RouteMatch';

/** A caller's request that has a route and may be dispatched until its deadline. */
interface CallerRequest {
  readonly req: IncomingMessage;
  readonly method: string;
  readonly path: string;
  readonly match: RouteMatch;
  /** Version of the configuration that the route was found in. */
  readonly version: number;
  /** Moment on the monotonic clock, in milliseconds. */
  readonly deadlineMs: number;
  readonly isIdempotent: boolean;
  /** Why another entry handed the request on, undefined if it came from the caller. */
  readonly relayReason: 'home' | 'owner' | undefined;
}

export default CallerRequest;
