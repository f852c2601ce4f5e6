import type RegistryState from './RegistryState';

/** @returns an empty registry, without a declaration or targets */
export default function createRegistryState(): RegistryState {
  return {
    declaration: undefined, evacuated: [], targets: {}, ended: {},
  };
}
