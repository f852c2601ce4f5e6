import type DeclaredRoute from '../registry/DeclaredRoute';
import type DeclaredTenant from './DeclaredTenant';

/**
 * Returns a route as it applies to the requests of a tenant: the priority of the tenant precedes
 * that of the route, and only regions that both allow may serve them.
 *
 * @param route - the matching route
 * @param tenant - the tenant; undefined if the request has none
 * @returns the route; its `homeRegions` are empty if no region is allowed by both
 */
export default function applyTenant(
  route: DeclaredRoute,
  tenant: DeclaredTenant | undefined,
): DeclaredRoute {
  if (tenant === undefined) return route;
  const { priority = route.priority, homeRegions: allowed } = tenant;
  const homeRegions = route.homeRegions?.filter((region) => allowed?.includes(region) ?? true)
    ?? allowed;
  return { ...route, priority, ...(homeRegions === undefined ? {} : { homeRegions }) };
}
