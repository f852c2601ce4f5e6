import type RegistryState from '../registry/RegistryState';
import findRollout from './findRollout';
import findVersionOf from './findVersionOf';

/**
 * Finds the versions that serve a service beside the target version of an order: those in force
 * since the last roll-out, or those of all registered targets if there was none.
 *
 * @param state - the registry
 * @param service - name of the service
 * @param targetVersion - the version that is brought in
 * @returns the versions; the empty text stands for targets that tell none
 */
export default function findBaseVersions(
  state: RegistryState,
  service: string,
  targetVersion: string,
): string[] {
  const last = findRollout(state, service);
  const registered = (): string[] => Object.values(state.targets)
    .filter((target) => target.service === service)
    .map(findVersionOf);
  const inForce = last?.phase === 'completed' ? [last.targetVersion] : last?.baseVersions;
  return [...new Set(inForce ?? registered())]
    .filter((version) => version !== targetVersion)
    .sort();
}
