import type RegisteredTarget from './RegisteredTarget';
import type RegistryState from './RegistryState';

/** Shortest rest of a cold start that is news about a target taken to be warm. */
const COLD_NEWS_MS = 300;

/**
 * Tells whether an announcement says nothing that the registry does not hold already, so that it
 * needs no entry in the log.
 *
 * @param state - the registry
 * @param target - the announcement
 * @param coldLeftMs - how much longer the registry takes the target to be cold
 * @returns true if the announcement just shows that the target is alive
 */
export default function isKnownAnnouncement(
  state: RegistryState,
  target: RegisteredTarget,
  coldLeftMs: number,
): boolean {
  const known = state.targets[target.id];
  if (known === undefined) return false;
  if (target.coldLeftMs > coldLeftMs + COLD_NEWS_MS) return false;
  return known.bornAtMs === target.bornAtMs
    && known.state === target.state
    && known.address === target.address
    && known.service === target.service
    && known.slots === target.slots
    && known.dataCentre === target.dataCentre;
}
