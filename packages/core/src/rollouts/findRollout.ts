import type RegistryState from '../registry/RegistryState';
import type Rollout from './Rollout';

/**
 * @param state - the registry
 * @param service - name of a service
 * @returns the last roll-out of the service, undefined if there was none
 */
export default function findRollout(
  { rollouts = {} }: Pick<RegistryState, 'rollouts'>,
  service: string,
): Rollout | undefined {
  return Object.hasOwn(rollouts, service) ? rollouts[service] : undefined;
}
