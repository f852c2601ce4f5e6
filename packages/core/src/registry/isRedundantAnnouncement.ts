import findTarget from './findTarget';
import type RegisteredTarget from './RegisteredTarget';
import type RegistryState from './RegistryState';

/** An announced cold time that exceeds the known one by more than this is an update. */
const MIN_COLD_CHANGE_MS = 300;

/**
 * Returns whether an announcement contains no update to the registry, so that it needs no entry in
 * the log.
 *
 * @param state - the registry
 * @param target - the announcement
 * @param coldLeftMs - remaining cold time of the target according to the registry
 * @returns true if the announcement only confirms that the target is alive
 */
export default function isRedundantAnnouncement(
  state: RegistryState,
  target: RegisteredTarget,
  coldLeftMs: number,
): boolean {
  const known = findTarget(state, target.id);
  if (known === undefined) return false;
  if (target.coldLeftMs > coldLeftMs + MIN_COLD_CHANGE_MS) return false;
  return known.bornAtMs === target.bornAtMs
    && known.state === target.state
    && known.address === target.address
    && known.service === target.service
    && known.slots === target.slots
    && known.dataCentre === target.dataCentre
    && known.version === target.version;
}
