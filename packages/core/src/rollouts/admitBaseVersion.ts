import type RegisteredTarget from '../registry/RegisteredTarget';
import type RegistryState from '../registry/RegistryState';
import findRollout from './findRollout';
import findVersionOf from './findVersionOf';

/**
 * Records the version of a target that served when a roll-out was ordered and had not told it then.
 * Versions are recorded once all members of the control group know of them, so that targets may
 * be registered without theirs for a time.
 *
 * @param state - the registry, modified in place
 * @param known - the target as registered, undefined if it was not
 * @param target - its announcement
 */
export default function admitBaseVersion(
  state: RegistryState,
  known: RegisteredTarget | undefined,
  target: RegisteredTarget,
): void {
  const rollout = findRollout(state, target.service);
  if (rollout === undefined || known === undefined) return;
  const isNamedNow = known.bornAtMs === target.bornAtMs && findVersionOf(known) === '';
  const version = findVersionOf(target);
  const { baseVersions, targetVersion, phase } = rollout;
  const wasBase = phase !== 'completed' && baseVersions.includes('');
  if (!isNamedNow || !wasBase || version === targetVersion) return;
  if (baseVersions.includes(version)) return;
  state.rollouts = {
    ...state.rollouts,
    [target.service]: { ...rollout, baseVersions: [...baseVersions, version].sort() },
  };
}
