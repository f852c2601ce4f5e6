import type DeclaredRoute from '../registry/DeclaredRoute';
import type LimitedTarget from './LimitedTarget';

interface SharingEntry {
  readonly name: string;
  readonly region: string;
}

/**
 * Finds the entries that share the request limit of a target: those of its region, and those of
 * regions whose callers depend on it, because the service has no target in their own region or a
 * route may not use it.
 *
 * @param target - the target
 * @param entries - all entries of the system
 * @param routes - the declared routes
 * @param serviceRegions - regions in which the service has targets
 * @returns the names of the entries; all of them if none is in such a region
 */
export default function findSharingEntries(
  target: LimitedTarget,
  entries: readonly SharingEntry[],
  routes: readonly DeclaredRoute[],
  serviceRegions: ReadonlySet<string>,
): string[] {
  const { service, region } = target;
  const restricted = routes.flatMap(({ backends, homeRegions }) => {
    const isUsed = backends.some((backend) => backend.service === service && backend.weight > 0);
    return isUsed && homeRegions?.includes(region) === true ? [homeRegions] : [];
  });
  const isDependent = (other: string): boolean => other === region || !serviceRegions.has(other)
    || restricted.some((homeRegions) => !homeRegions.includes(other));
  const sharing = entries.filter((entry) => isDependent(entry.region));
  return (sharing.length > 0 ? sharing : entries).map(({ name }) => name);
}
