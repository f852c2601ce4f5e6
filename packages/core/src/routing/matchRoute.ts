import { Ok, type Result } from 'ts-results';

import fail from '../errors/fail';
import type Failure from '../errors/Failure';
import type Configuration from '../types/Configuration';
import type Route from '../types/Route';
import type RouteMatch from './RouteMatch';

/** Routes by configuration, longest prefix first. Valid because configurations are immutable. */
const sortedRoutes = new WeakMap<Configuration, readonly (readonly [string, Route])[]>();

function listRoutes(configuration: Configuration): readonly (readonly [string, Route])[] {
  const known = sortedRoutes.get(configuration);
  if (known !== undefined) return known;
  const routes = Object.entries(configuration.routes)
    .sort(([, left], [, right]) => right.pathPrefix.length - left.pathPrefix.length);
  sortedRoutes.set(configuration, routes);
  return routes;
}

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
 * Finds the route with the longest matching path prefix. The home regions of the match are the
 * intersection of those of the route and of the tenant.
 *
 * @param configuration - the configuration in force
 * @param path - path of the request, with its query
 * @param tenantName - name of the tenant in the request, if any
 * @returns the match, or a `noRoute` failure
 */
export default function matchRoute(
  configuration: Configuration,
  path: string,
  tenantName: string | undefined,
): Result<RouteMatch, Failure> {
  const found = listRoutes(configuration)
    .find(([, { pathPrefix }]) => isPrefixOf(pathPrefix, path));
  if (found === undefined) return fail('noRoute');
  const [routeName, route] = found;
  const service = configuration.services[route.service];
  if (service === undefined) return fail('noRoute', `no service "${route.service}"`);
  const tenant = tenantName === undefined ? undefined : configuration.tenants[tenantName];
  return Ok({
    routeName,
    serviceName: route.service,
    service,
    homeRegions: intersectRegions(route.homeRegions, tenant?.homeRegions),
  });
}
