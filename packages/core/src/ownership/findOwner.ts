import chooseOwner from './chooseOwner';
import expireViews from './expireViews';
import type OwnedTarget from './OwnedTarget';
import type OwnershipState from './OwnershipState';

/**
 * Finds the owner of a target. There is none while an entry with an older view may still consider
 * another entry the owner.
 *
 * @param state - the ownership state of this entry
 * @param target - the target
 * @param nowMs - monotonic clock, in milliseconds
 * @returns name of the owner, or undefined while no entry is certain to be the only owner
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
  const owners = state.views.map((view) => chooseOwner(target, view.members));
  const isSettled = owners.every((name) => name === undefined || name === owner);
  return isSettled ? owner : undefined;
}
