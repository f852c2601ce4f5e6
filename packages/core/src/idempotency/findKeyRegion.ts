import type RouteMatch from '../routing/RouteMatch';
import type Configuration from '../types/Configuration';
import hashText from './hashText';

/**
 * Finds the region that stores the record of a key by rendezvous hashing over the home regions of
 * the request, or over all regions if it has none. Data centres that are out are included, so that
 * taking one out does not move any key.
 *
 * @param configuration - the configuration in force
 * @param match - the matched route of the request
 * @param key - the idempotency key
 * @returns the region, or undefined if the configuration contains no region
 */
export default function findKeyRegion(
  configuration: Configuration,
  match: RouteMatch,
  key: string,
): string | undefined {
  const all = Object.values(configuration.dataCentres).map(({ region }) => region);
  const regions = [...new Set(match.homeRegions ?? all)];
  return regions
    .map((region) => ({ region, rank: hashText(`${region}/${key}`) }))
    .sort((a, b) => b.rank - a.rank || (a.region < b.region ? -1 : 1))[0]?.region;
}
