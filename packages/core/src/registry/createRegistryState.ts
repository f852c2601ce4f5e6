import type RegistryState from './RegistryState';

/** @returns the state of a system that has been told nothing yet */
export default function createRegistryState(): RegistryState {
  return {
    declaration: undefined, evacuated: [], targets: {}, ended: {},
  };
}
