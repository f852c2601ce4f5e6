import type RegistryState from '@guavayard/core/registry/RegistryState';

import type VmMessage from '../messages/VmMessage';
import adaptTargets from './adaptTargets';

type View = Extract<VmMessage, { kind: 'registryView' }>;

/**
 * Adapts a view of the registry for entries of builds without roll-outs.
 *
 * @param state - the registry
 * @param view - the view
 * @returns the view as such entries understand it
 */
export default function adaptView(
  state: RegistryState,
  {
    kind, index, declaration, evacuated, targets,
  }: View,
): View {
  return {
    kind, index, declaration, evacuated, targets: adaptTargets(state, targets).targets,
  };
}
