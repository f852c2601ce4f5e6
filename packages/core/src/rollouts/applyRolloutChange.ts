import type RegistryChange from '../registry/RegistryChange';
import type RegistryState from '../registry/RegistryState';
import findBaseVersions from './findBaseVersions';
import findRollout from './findRollout';
import isUnderWay from './isUnderWay';
import type Rollout from './Rollout';

type Start = Extract<RegistryChange, { kind: 'startRollout' }>;
type Step = Extract<RegistryChange, { kind: 'switchRollout' | 'completeRollout' | 'rollBackRollout' }>;

const PHASES = {
  switchRollout: 'switching', completeRollout: 'completed', rollBackRollout: 'rolledBack',
} as const satisfies Record<Step['kind'], Rollout['phase']>;

function start(state: RegistryState, change: Start): void {
  const last = findRollout(state, change.service);
  if (last !== undefined && isUnderWay(last)) return;
  const {
    service, targetVersion, durationMs, canaryShare, orderedAtMs,
  } = change;
  state.rollouts = {
    ...state.rollouts,
    [service]: {
      number: (last?.number ?? 0) + 1,
      targetVersion,
      baseVersions: findBaseVersions(state, service, targetVersion),
      durationMs,
      canaryShare,
      orderedAtMs,
      phase: 'running',
    },
  };
}

function isAllowed({ phase }: Rollout, { kind }: Step): boolean {
  if (kind === 'rollBackRollout') return phase === 'running' || phase === 'switching';
  return kind === 'switchRollout' ? phase === 'running' : phase === 'switching';
}

/**
 * Applies a committed step of a roll-out. A step that an earlier one has made void changes nothing.
 *
 * @param state - the registry, modified in place
 * @param change - the step
 */
export default function applyRolloutChange(state: RegistryState, change: Start | Step): void {
  if (change.kind === 'startRollout') {
    start(state, change);
    return;
  }
  const rollout = findRollout(state, change.service);
  if (rollout?.number !== change.number || !isAllowed(rollout, change)) return;
  state.rollouts = {
    ...state.rollouts, [change.service]: { ...rollout, phase: PHASES[change.kind] },
  };
}
