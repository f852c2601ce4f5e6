import { Ok, type Result } from 'ts-results';

import fail from '../errors/fail';
import type Failure from '../errors/Failure';
import type Configuration from '../types/Configuration';
import type Route from '../types/Route';
import type RouteMatch from './RouteMatch';

function isPrefixOf(prefix: string, path: string): boolean {
  if (!path.startsWith(prefix)) return false;
  if (prefix.endsWith('/')) return true;
  const next = path.charAt(prefix.length);
  return next === '' || next === '/' || next === '?';
}

function intersectRegions(
  ofRoute: readonly string[] | undefined,
  ofTenant: readonly string[] | undefined,
): readonly string[] | undefined {
  if (ofRoute === undefined) return ofTenant;
  if (ofTenant === undefined) return ofRoute;
  return ofRoute.filter((region) => ofTenant.includes(region));
}

/**
 * Finds the route with the longest prefix of a path, and the home regions of route and tenant.
 *
 * @param configuration - the configuration in force
 * @param path - path of the request, with its query
 * @param tenantName - tenant named by the request, if any
 * @returns the match, or `noRoute`
 */
export default function matchRoute(
  configuration: Configuration,
  path: string,
  tenantName: string | undefined,
): Result<RouteMatch, Failure> {
  let bestName: string | undefined;
  let best: Route | undefined;
  Object.entries(configuration.routes).forEach(([name, route]) => {
    if (!isPrefixOf(route.pathPrefix, path)) return;
    if (best !== undefined && best.pathPrefix.length >= route.pathPrefix.length) return;
    bestName = name;
    best = route;
  });
  if (best === undefined || bestName === undefined) return fail('noRoute');
  const service = configuration.services[best.service];
  if (service === undefined) return fail('noRoute', `no service "${best.service}"`);
  const tenant = tenantName === undefined ? undefined : configuration.tenants[tenantName];
  return Ok({
    routeName: bestName,
    serviceName: best.service,
    service,
    homeRegions: intersectRegions(best.homeRegions, tenant?.homeRegions),
  });
}
