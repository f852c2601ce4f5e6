import type RegistryState from '@guavayard/core/registry/RegistryState';
import type Clock from '@guavayard/core/types/Clock';

import type VmLocation from './VmLocation';

/** Time without a subscription to any control VM after which an entry is gone, in milliseconds. */
const ENTRY_TIMEOUT_MS = 3000;

interface EntryPresence {
  readonly location: VmLocation;
  readonly seenAtMs: number;
}

/** Last contact of each target and entry with any control VM, kept by the leader. */
export default class PresenceTable {
  private readonly targetsSeenAtMs = new Map<string, number>();

  private readonly presenceByEntry = new Map<string, EntryPresence>();

  /**
   * @param clock - monotonic clock
   * @param targetTimeoutMs - time without an announcement after which a target expires, in
   *   milliseconds
   */
  constructor(private readonly clock: Clock, private readonly targetTimeoutMs: number) {}

  /**
   * Records the current time as the last contact of targets and entries.
   *
   * @param targetIds - targets that announced themselves
   * @param entries - entries that hold a subscription
   */
  recordContact(targetIds: readonly string[], entries: readonly VmLocation[]): void {
    const seenAtMs = this.clock();
    targetIds.forEach((id) => this.targetsSeenAtMs.set(id, seenAtMs));
    entries.forEach((location) => this.presenceByEntry.set(location.name, { location, seenAtMs }));
  }

  /**
   * Starts every timeout anew, for instance on a new leader. Entries divide limits by the number of
   * entries in the roster, so it must not shrink until those that are gone have timed out.
   *
   * @param entries - the entries of the last roster
   */
  reset(entries: readonly VmLocation[]): void {
    this.targetsSeenAtMs.clear();
    this.presenceByEntry.clear();
    this.recordContact([], entries);
  }

  /** @returns the entries with a recent subscription, sorted by name */
  get entries(): VmLocation[] {
    const since = this.clock() - ENTRY_TIMEOUT_MS;
    return [...this.presenceByEntry.values()]
      .filter(({ seenAtMs }) => seenAtMs >= since)
      .map(({ location }) => location)
      .sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  /**
   * Finds the targets whose announcements have stopped. The timeout of a target without a recorded
   * contact starts with this call.
   *
   * @param state - the registry
   * @returns the ids of the registered targets that have timed out
   */
  findExpiredTargets(state: RegistryState): string[] {
    const nowMs = this.clock();
    return Object.keys(state.targets).filter((id) => {
      const seenAtMs = this.targetsSeenAtMs.get(id);
      if (seenAtMs === undefined) this.targetsSeenAtMs.set(id, nowMs);
      return seenAtMs !== undefined && nowMs - seenAtMs > this.targetTimeoutMs;
    });
  }
}
