import type { IncomingMessage } from 'node:http';

import type RouteMatch from '@guavayard/core/routing/RouteMatch';

/** A caller's request that has matched a route and may be dispatched until its deadline. */
interface CallerRequest {
  readonly req: IncomingMessage;
  readonly method: string;
  readonly path: string;
  readonly match: RouteMatch;
  /** Version of the configuration that the route was matched against. */
  readonly version: number;
  /** Deadline on the monotonic clock, in milliseconds. */
  readonly deadlineMs: number;
  readonly isIdempotent: boolean;
  /** Why another entry relayed the request; undefined if it came directly from the caller. */
  readonly relayReason: 'home' | 'owner' | undefined;
}

export default CallerRequest;
