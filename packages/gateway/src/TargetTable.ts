import type Logger from 'bunyan';

import createPlacedTarget from '@guavayard/core/placement/createPlacedTarget';
import FormerTargets from '@guavayard/core/placement/FormerTargets';
import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';
import placementLimits from '@guavayard/core/placement/placementLimits';
import findAnnouncementMistake from '@guavayard/core/registry/findAnnouncementMistake';
import type RegisteredTarget from '@guavayard/core/registry/RegisteredTarget';
import type Clock from '@guavayard/core/types/Clock';

interface TargetTableOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /** Name of this entry. */
  readonly entryName: string;
  /** Region of each data centre. */
  readonly regionOf: (dataCentre: string) => string;
  /** Called with a target that has registered, or has started again. */
  readonly onAdded: (target: PlacedTarget) => void;
  /** Called with a target that has registered something new about the same process. */
  readonly onUpdated: (target: PlacedTarget) => void;
  /** Called with a target that is no longer registered. */
  readonly onRemoved: (target: PlacedTarget) => void;
}

/** The registered targets, by id, each with the state that this entry keeps about it. */
export default class TargetTable {
  private readonly targets = new Map<string, PlacedTarget>();

  private readonly formerTargets = new FormerTargets();

  constructor(private readonly options: TargetTableOptions) {}

  /** Number of registered targets. */
  get size(): number {
    return this.targets.size;
  }

  /** @returns all registered targets */
  list(): PlacedTarget[] {
    return [...this.targets.values()];
  }

  /** @returns a target by its id, undefined if none is registered under it */
  get(id: string): PlacedTarget | undefined {
    return this.targets.get(id);
  }

  /**
   * Applies what control has registered.
   *
   * @param records - all registered targets, by id
   */
  update(records: ReadonlyMap<string, RegisteredTarget>): void {
    [...this.targets.keys()].filter((id) => !records.has(id)).forEach((id) => this.remove(id));
    records.forEach((record) => this.upsert(record));
  }

  private upsert(record: RegisteredTarget): void {
    const known = this.targets.get(record.id);
    if (known?.record === record) return;
    // An older control VM may have registered what nothing can be sent to.
    const mistake = findAnnouncementMistake(record, { dataCentres: undefined, nowMs: Infinity });
    if (mistake !== undefined) {
      this.options.log.warn({ target: record.id, mistake }, 'target ignored');
      this.remove(record.id);
      return;
    }
    const isSameIncarnation = known?.record.bornAtMs === record.bornAtMs
      && known.record.address === record.address;
    if (known !== undefined && isSameIncarnation) {
      known.record = record;
      this.options.onUpdated(known);
      return;
    }
    if (known !== undefined) {
      this.logRestart(known, record);
      this.remove(record.id);
    }
    this.add(record);
  }

  private add(record: RegisteredTarget): void {
    const { regionOf, entryName, clock } = this.options;
    const target = createPlacedTarget(record, regionOf(record.dataCentre), entryName);
    this.formerTargets.restore(target, clock());
    this.targets.set(record.id, target);
    this.options.onAdded(target);
  }

  private remove(id: string): void {
    const known = this.targets.get(id);
    this.targets.delete(id);
    if (known === undefined) return;
    this.formerTargets.add(known, this.options.clock());
    this.options.onRemoved(known);
  }

  private logRestart(former: PlacedTarget, { id, bornAtMs }: RegisteredTarget): void {
    const { clock, log } = this.options;
    const sinceMs = clock() - placementLimits.coldWindowMs;
    log.info({
      target: id,
      bornAtMs,
      formerBornAtMs: former.record.bornAtMs,
      recentSends: former.recentSends.filter((atMs) => atMs > sinceMs).length,
      coldLeftMs: Math.round(Math.max(0, former.coldUntilMs - clock())),
    }, 'target started again');
  }
}
