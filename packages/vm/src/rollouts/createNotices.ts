import type RegistryState from '@guavayard/core/registry/RegistryState';
import type RolloutNotice from '@guavayard/core/rollouts/RolloutNotice';

import type RolloutTimes from './RolloutTimes';

/**
 * Creates what entries are told of roll-outs.
 *
 * @param state - the registry
 * @param times - when versions switch
 * @returns the last roll-out of each service
 */
export default function createNotices(
  { rollouts = {} }: RegistryState,
  times: Pick<RolloutTimes, 'switchInMs'>,
): RolloutNotice[] {
  return Object.entries(rollouts).map(([service, {
    number, targetVersion, baseVersions, canaryShare, phase,
  }]) => ({
    service,
    number,
    targetVersion,
    baseVersions: [...baseVersions],
    canaryShare,
    phase,
    switchInMs: phase === 'switching' ? times.switchInMs(service) : 0,
  }));
}
