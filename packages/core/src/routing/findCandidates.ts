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
 * Finds the targets that may serve a request: of its service, not draining, in a data centre
 * that is in, and in a home region where the request has any.
 *
 * @param configuration - the configuration in force
 * @param targets - targets of the service that are alive
 * @param match - the route of the request
 * @param from - where the entry stands
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
