import findTarget from './findTarget';
import type RegisteredTarget from './RegisteredTarget';
import type RegistryState from './RegistryState';

/**
 * Returns whether an announcement is out of date: it belongs to an ended incarnation, was sent
 * before one that is already registered, or comes from an address at which a later incarnation has
 * started.
 *
 * @param state - the registry
 * @param target - the announcement
 * @returns true if the announcement must be ignored
 */
export default function isStaleAnnouncement(
  state: RegistryState,
  target: RegisteredTarget,
): boolean {
  const endedBornAtMs = Object.hasOwn(state.ended, target.id) ? state.ended[target.id] : undefined;
  if (endedBornAtMs !== undefined && target.bornAtMs <= endedBornAtMs) return true;
  const known = findTarget(state, target.id);
  if (known !== undefined) {
    if (target.bornAtMs < known.bornAtMs) return true;
    if (target.bornAtMs === known.bornAtMs && target.sequence < known.sequence) return true;
  }
  return Object.values(state.targets).some((other) => (
    other.id !== target.id && other.address === target.address && other.bornAtMs > target.bornAtMs
  ));
}
