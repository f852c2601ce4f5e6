import type Configuration from '../types/Configuration';

function findUnknownRegions(
  pointer: string,
  homeRegions: readonly string[] | undefined,
  regions: ReadonlySet<string>,
): string[] {
  return (homeRegions ?? [])
    .filter((region) => !regions.has(region))
    .map((region) => `${pointer}/homeRegions: no data centre is in region "${region}"`);
}

/**
 * Finds references to services and regions that the configuration does not define.
 *
 * @param configuration - a configuration that matches its schema
 * @returns one message per dangling reference, starting with its JSON pointer
 */
export default function findDanglingReferences(configuration: Configuration): string[] {
  const dataCentres = Object.values(configuration.dataCentres);
  const regions = new Set(dataCentres.map((dataCentre) => dataCentre.region));
  const services = new Set(Object.keys(configuration.services));
  const routeErrors = Object.entries(configuration.routes).flatMap(([name, route]) => [
    ...(services.has(route.service) ? [] : [`/routes/${name}/service: no service "${route.service}"`]),
    ...findUnknownRegions(`/routes/${name}`, route.homeRegions, regions),
  ]);
  const tenantErrors = Object.entries(configuration.tenants)
    .flatMap(([name, tenant]) => findUnknownRegions(`/tenants/${name}`, tenant.homeRegions, regions));
  return [...routeErrors, ...tenantErrors];
}
