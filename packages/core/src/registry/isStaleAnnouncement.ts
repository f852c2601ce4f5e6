import type RegisteredTarget from './RegisteredTarget';
import type RegistryState from './RegistryState';

/**
 * Tells whether an announcement is older than what is known: of a life that has ended, sent
 * before one that was taken, or from an address at which a later life has started.
 *
 * @param state - the registry
 * @param target - the announcement
 * @returns true if it must not change anything
 */
export default function isStaleAnnouncement(
  state: RegistryState,
  target: RegisteredTarget,
): boolean {
  const endedAt = state.ended[target.id];
  if (endedAt !== undefined && target.bornAtMs <= endedAt) return true;
  const known = state.targets[target.id];
  if (known !== undefined) {
    if (target.bornAtMs < known.bornAtMs) return true;
    if (target.bornAtMs === known.bornAtMs && target.sequence < known.sequence) return true;
  }
  return Object.values(state.targets).some((other) => (
    other.id !== target.id && other.address === target.address && other.bornAtMs > target.bornAtMs
  ));
}
