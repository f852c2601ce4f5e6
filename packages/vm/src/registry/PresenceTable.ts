import type RegistryState from '@guavayard/core/registry/RegistryState';
import type Clock from '@guavayard/core/types/Clock';

import type VmPlace from './VmPlace';

/** An entry that no control VM has had as a subscriber for this long is gone, in milliseconds. */
const ENTRY_SILENCE_MS = 3000;

interface HeardEntry {
  readonly place: VmPlace;
  readonly atMs: number;
}

/** When targets and entries were last heard, over all control VMs; kept by the leader. */
export default class PresenceTable {
  private readonly targets = new Map<string, number>();

  private readonly entryTable = new Map<string, HeardEntry>();

  /**
   * @param clock - monotonic clock
   * @param silenceMs - silence after which a target is taken to be gone
   */
  constructor(private readonly clock: Clock, private readonly silenceMs: number) {}

  /**
   * Notes who was heard.
   *
   * @param targetIds - targets that announced themselves
   * @param entries - entries that hold a subscription
   */
  note(targetIds: readonly string[], entries: readonly VmPlace[]): void {
    const atMs = this.clock();
    targetIds.forEach((id) => this.targets.set(id, atMs));
    entries.forEach((place) => this.entryTable.set(place.name, { place, atMs }));
  }

  /** Forgets everything: silence is counted anew from now, for instance by a new leader. */
  reset(): void {
    this.targets.clear();
    this.entryTable.clear();
  }

  /** @returns the entries that are there, by name */
  get entries(): VmPlace[] {
    const since = this.clock() - ENTRY_SILENCE_MS;
    return [...this.entryTable.values()]
      .filter(({ atMs }) => atMs >= since)
      .map(({ place }) => place)
      .sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  /**
   * @param state - the registry
   * @returns the ids of the registered targets that have been silent for too long
   */
  findSilent(state: RegistryState): string[] {
    const nowMs = this.clock();
    return Object.keys(state.targets).filter((id) => {
      const heardAtMs = this.targets.get(id);
      if (heardAtMs === undefined) this.targets.set(id, nowMs);
      return heardAtMs !== undefined && nowMs - heardAtMs > this.silenceMs;
    });
  }
}
