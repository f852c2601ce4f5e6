import type RouteMatch from '../routing/RouteMatch';
import type Configuration from '../types/Configuration';
import hashText from './hashText';

/**
 * Finds the region that keeps the record of a key: one of the home regions, or one of all
 * regions. Data centres that are out count too, so that taking one out moves no keys.
 *
 * @param configuration - the configuration in force
 * @param match - the route of the request
 * @param key - the key
 * @returns the region, or undefined if the configuration names none
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
