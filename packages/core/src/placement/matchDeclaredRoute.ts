import type DeclaredRoute from '../registry/DeclaredRoute';
import type Declaration from '../registry/Declaration';

type NamedRoute = readonly [string, DeclaredRoute];

/** Routes by host, longest prefix first. The cache is valid because declarations are immutable. */
const sortedRoutes = new WeakMap<Declaration, Map<string, NamedRoute[]>>();

function listRoutes(declaration: Declaration): Map<string, NamedRoute[]> {
  const known = sortedRoutes.get(declaration);
  if (known !== undefined) return known;
  const byHost = new Map<string, NamedRoute[]>();
  Object.entries(declaration.routes).forEach(([name, route]) => {
    const routes = byHost.get(route.host) ?? [];
    routes.push([name, route]);
    byHost.set(route.host, routes);
  });
  byHost.forEach((routes) => {
    routes.sort(([, a], [, b]) => b.pathPrefix.length - a.pathPrefix.length);
  });
  sortedRoutes.set(declaration, byHost);
  return byHost;
}

/**
 * Finds the route of a request: the route of its host with the longest matching path prefix.
 *
 * @param declaration - the declaration in force
 * @param host - host of the request, in lower case and without a port
 * @param path - path of the request, with its query
 * @returns name and route, undefined if no route matches
 */
export default function matchDeclaredRoute(
  declaration: Declaration,
  host: string,
  path: string,
): NamedRoute | undefined {
  return listRoutes(declaration).get(host)
    ?.find(([, { pathPrefix }]) => path.startsWith(pathPrefix));
}
