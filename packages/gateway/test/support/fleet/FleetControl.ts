import applyRegistryChange from '@guavayard/core/registry/applyRegistryChange';
import createRegistryState from '@guavayard/core/registry/createRegistryState';
import isRedundantAnnouncement from '@guavayard/core/registry/isRedundantAnnouncement';
import type RegisteredTarget from '@guavayard/core/registry/RegisteredTarget';
import type RegistryChange from '@guavayard/core/registry/RegistryChange';
import type Random from '@guavayard/core/types/Random';

import type FleetClock from './FleetClock';

/** Longest time that a change takes until it is committed, in milliseconds. */
const MAX_COMMIT_MS = 40;

/** What entries are told: the targets by id, and the evacuated data centres. */
interface FleetView {
  readonly records: ReadonlyMap<string, RegisteredTarget>;
  readonly evacuated: ReadonlySet<string>;
}

/** Simulates the control group: commits changes in order and tells its followers. */
export default class FleetControl {
  private readonly state = createRegistryState();

  private readonly warmAtMs = new Map<string, number>();

  private records = new Map<string, RegisteredTarget>();

  private committedAtMs = 0;

  /**
   * @param clock - the clock of the system
   * @param random - random numbers that the times of commits depend on
   * @param onCommit - called with each committed view
   */
  constructor(
    private readonly clock: FleetClock,
    private readonly random: Random,
    private readonly onCommit: (view: FleetView) => void,
  ) {}

  /** The view of a new follower. */
  get view(): FleetView {
    const records = [...this.records.values()].map((record) => ({
      ...record, coldLeftMs: this.coldLeftMs(record.id),
    }));
    return {
      records: new Map(records.map((record) => [record.id, record])),
      evacuated: new Set(this.state.evacuated),
    };
  }

  /** Commits a change some time later, after those before it. */
  submit(change: RegistryChange): void {
    const atMs = Math.max(
      this.committedAtMs,
      this.clock.nowMs + 1 + this.random() * MAX_COMMIT_MS,
    );
    this.committedAtMs = atMs;
    this.clock.after(atMs - this.clock.nowMs, () => this.commit(change));
  }

  private coldLeftMs(id: string): number {
    return Math.max(0, (this.warmAtMs.get(id) ?? 0) - this.clock.nowMs);
  }

  private commit(change: RegistryChange): void {
    const { state } = this;
    if (change.kind === 'announce') {
      const { target } = change;
      if (isRedundantAnnouncement(state, target, this.coldLeftMs(target.id))) return;
      applyRegistryChange(state, change);
      if (state.targets[target.id] !== target) return;
      this.warmAtMs.set(target.id, this.clock.nowMs + target.coldLeftMs);
      this.records.set(target.id, target);
    } else {
      applyRegistryChange(state, change);
    }
    this.records = new Map([...this.records].filter(([id]) => Object.hasOwn(state.targets, id)));
    this.onCommit({ records: new Map(this.records), evacuated: new Set(state.evacuated) });
  }
}
