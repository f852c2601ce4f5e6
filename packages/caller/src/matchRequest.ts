import type { IncomingMessage } from 'node:http';

import type { Result } from 'ts-results';

import type Failure from '@guavayard/core/errors/Failure';
import matchRoute from '@guavayard/core/routing/matchRoute';
import type RouteMatch from '@guavayard/core/routing/RouteMatch';
import type Configuration from '@guavayard/core/types/Configuration';

const TENANT_HEADER = 'guavayard-tenant';

/**
 * Finds the route that matches a caller's request.
 *
 * @param configuration - the configuration in force
 * @param req - the caller's request
 * @returns the match, or the failure if no route matches
 */
export default function matchRequest(
  configuration: Configuration,
  req: IncomingMessage,
): Result<RouteMatch, Failure> {
  const tenant = req.headers[TENANT_HEADER]?.toString();
  return matchRoute(configuration, req.url ?? '/', tenant);
}
