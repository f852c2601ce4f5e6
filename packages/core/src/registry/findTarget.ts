import type RegisteredTarget from './RegisteredTarget';
import type RegistryState from './RegistryState';

/**
 * @param state - the registry
 * @param id - any text, also the name of a property that every object has
 * @returns the registered target of that id, undefined if there is none
 */
export default function findTarget(state: RegistryState, id: string): RegisteredTarget | undefined {
  return Object.hasOwn(state.targets, id) ? state.targets[id] : undefined;
}
