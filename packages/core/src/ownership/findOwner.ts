import chooseOwner from './chooseOwner';
import expireViews from './expireViews';
import type OwnedTarget from './OwnedTarget';
import type OwnershipState from './OwnershipState';

/**
 * Finds the owner of a target. While another entry may still take itself for the owner, there is
 * none.
 *
 * @param state - what this entry knows
 * @param target - the target
 * @param nowMs - monotonic clock
 * @returns name of the owner, or undefined while nobody is sure to be the only one
 */
export default function findOwner(
  state: OwnershipState,
  target: OwnedTarget,
  nowMs: number,
): string | undefined {
  expireViews(state, nowMs);
  const latest = state.views[state.views.length - 1];
  if (latest === undefined) return undefined;
  const owner = chooseOwner(target, latest.members);
  const former = state.views.map((view) => chooseOwner(target, view.members));
  const isSettled = former.every((name) => name === undefined || name === owner);
  return isSettled ? owner : undefined;
}
