import admitBaseVersion from '../rollouts/admitBaseVersion';
import applyRolloutChange from '../rollouts/applyRolloutChange';
import findTarget from './findTarget';
import isStaleAnnouncement from './isStaleAnnouncement';
import type RegisteredTarget from './RegisteredTarget';
import type RegistryChange from './RegistryChange';
import type RegistryState from './RegistryState';

/** Maximum number of ended incarnations that are retained; the oldest are dropped first. */
const MAX_ENDED_INCARNATIONS = 4096;

function endIncarnation(state: RegistryState, id: string, bornAtMs: number): void {
  delete state.ended[id];
  state.ended[id] = bornAtMs;
  const ids = Object.keys(state.ended);
  if (ids.length > MAX_ENDED_INCARNATIONS && ids[0] !== undefined) delete state.ended[ids[0]];
}

function announce(state: RegistryState, target: RegisteredTarget): void {
  if (isStaleAnnouncement(state, target)) return;
  Object.values(state.targets)
    .filter((other) => other.address === target.address && other.id !== target.id)
    .forEach((other) => {
      endIncarnation(state, other.id, other.bornAtMs);
      delete state.targets[other.id];
    });
  admitBaseVersion(state, findTarget(state, target.id), target);
  state.targets[target.id] = target;
}

function withdraw(state: RegistryState, id: string): void {
  const known = findTarget(state, id);
  if (known === undefined) return;
  endIncarnation(state, id, known.bornAtMs);
  delete state.targets[id];
}

/**
 * Applies a committed change. This is deterministic, so all replicas reach the same state.
 *
 * @param state - the registry, modified in place
 * @param change - the change
 */
export default function applyRegistryChange(state: RegistryState, change: RegistryChange): void {
  switch (change.kind) {
    case 'declare':
      if (change.declaration.version > (state.declaration?.version ?? -1)) {
        state.declaration = change.declaration;
      }
      break;
    case 'evacuate':
      if (!state.evacuated.includes(change.dataCentre)) state.evacuated.push(change.dataCentre);
      break;
    case 'restore':
      state.evacuated = state.evacuated.filter((name) => name !== change.dataCentre);
      break;
    case 'announce':
      announce(state, change.target);
      break;
    case 'withdraw':
      withdraw(state, change.targetId);
      break;
    case 'expire': {
      const known = findTarget(state, change.targetId);
      const isSame = known?.bornAtMs === change.bornAtMs && known.sequence === change.sequence;
      if (isSame) delete state.targets[change.targetId];
      break;
    }
    default:
      applyRolloutChange(state, change);
  }
}
