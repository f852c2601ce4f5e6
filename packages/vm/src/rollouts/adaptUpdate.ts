import type VmMessage from '../messages/VmMessage';
import type RegistryStore from '../registry/RegistryStore';
import adaptTargets from './adaptTargets';

type Update = Extract<VmMessage, { kind: 'registryUpdate' }>;

/**
 * Adapts an update of the registry for entries of builds without roll-outs.
 *
 * @param store - the registry
 * @param update - the update
 * @returns the update as such entries understand it; after a step of a roll-out, it has all
 *   targets of the services whose versions are brought in
 */
export default function adaptUpdate(
  store: Pick<RegistryStore, 'state' | 'coldLeftMs'>,
  { rollouts = [], ...update }: Update,
): Update {
  const { state } = store;
  const services = new Set(rollouts.map(({ service }) => service));
  const known = new Set(update.targets.map(({ id }) => id));
  const others = Object.values(state.targets)
    .filter(({ id, service }) => services.has(service) && !known.has(id))
    .map((target) => ({ ...target, coldLeftMs: store.coldLeftMs(target.id) }));
  const { targets, hiddenIds } = adaptTargets(state, [...update.targets, ...others]);
  return { ...update, targets, removedIds: [...update.removedIds, ...hiddenIds] };
}
