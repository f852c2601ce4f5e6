import type RegisteredTarget from '@guavayard/core/registry/RegisteredTarget';
import type RegistryState from '@guavayard/core/registry/RegistryState';
import findRollout from '@guavayard/core/rollouts/findRollout';
import findVersionOf from '@guavayard/core/rollouts/findVersionOf';

interface AdaptedTargets {
  readonly targets: RegisteredTarget[];
  /** Targets that get no request from entries of older builds. */
  readonly hiddenIds: string[];
}

/**
 * Adapts targets for entries of builds without roll-outs, which send to all targets that they know
 * of: they know of those of the base versions alone, and of the target version once it has been
 * judged to be good.
 *
 * @param state - the registry
 * @param targets - some of its targets
 * @returns the targets that such an entry may know of, without their versions
 */
export default function adaptTargets(
  state: RegistryState,
  targets: readonly RegisteredTarget[],
): AdaptedTargets {
  const isHidden = (target: RegisteredTarget): boolean => {
    const rollout = findRollout(state, target.service);
    if (rollout === undefined) return false;
    const { phase, baseVersions, targetVersion } = rollout;
    const version = findVersionOf(target);
    const hasSwitched = phase === 'switching' || phase === 'completed';
    return hasSwitched ? version !== targetVersion : !baseVersions.includes(version);
  };
  return {
    targets: targets.filter((target) => !isHidden(target)).map((target) => {
      const { version, ...older } = target;
      return version === undefined ? target : older;
    }),
    hiddenIds: targets.filter(isHidden).map(({ id }) => id),
  };
}
