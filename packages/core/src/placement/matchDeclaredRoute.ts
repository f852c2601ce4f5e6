import type DeclaredRoute from '../registry/DeclaredRoute';
import type Declaration from '../registry/Declaration';

type NamedRoute = readonly [string, DeclaredRoute];

/** Routes by host, the longest prefix first; a declaration is never changed in place. */
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
 * Finds the route of a request: of those of its host, the one with the longest prefix of its path.
 *
 * @param declaration - the declaration in force
 * @param host - host of the request, in lower case and without a port
 * @param path - path of the request, with its query
 * @returns name and route, undefined if there is none
 */
export default function matchDeclaredRoute(
  declaration: Declaration,
  host: string,
  path: string,
): NamedRoute | undefined {
  return listRoutes(declaration).get(host)
    ?.find(([, { pathPrefix }]) => path.startsWith(pathPrefix));
}
