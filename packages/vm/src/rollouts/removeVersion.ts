import type RegistryChange from '@guavayard/core/registry/RegistryChange';

/**
 * Leaves out the version of a target, which older builds cannot read.
 *
 * @param change - a change of the registry
 * @returns the change without it
 */
export default function removeVersion(change: RegistryChange): RegistryChange {
  if (change.kind !== 'announce') return change;
  const { version, ...target } = change.target;
  return version === undefined ? change : { kind: 'announce', target };
}
