import type Configuration from '../types/Configuration';
import type KnownTarget from '../types/KnownTarget';
import type Candidate from './Candidate';
import type Locality from './Locality';
import type RouteMatch from './RouteMatch';

function measureDistance(from: Locality, region: string, dataCentre: string): Candidate['distance'] {
  if (dataCentre === from.dataCentre) return 'data-centre';
  return region === from.region ? 'region' : 'remote';
}

/**
 * Finds the targets that may serve a request. They belong to its service, are not draining, are in
 * a data centre with the state `in`, and in a home region of the request if it has any.
 *
 * @param configuration - the configuration in force
 * @param targets - live targets of the service
 * @param match - the route of the request
 * @param from - location of the entry
 * @returns the candidates, in the order of `targets`
 */
export default function findCandidates(
  configuration: Configuration,
  targets: readonly KnownTarget[],
  match: RouteMatch,
  from: Locality,
): Candidate[] {
  return targets.flatMap((target) => {
    if (target.state === 'draining') return [];
    const dataCentre = configuration.dataCentres[target.dataCentre];
    if (dataCentre?.state !== 'in') return [];
    const { region } = dataCentre;
    if (match.homeRegions !== undefined && !match.homeRegions.includes(region)) return [];
    return [{ target, distance: measureDistance(from, region, target.dataCentre) }];
  });
}
