import { Ok, type Result } from 'ts-results';

import type Failure from '@guavayard/core/errors/Failure';
import type Clock from '@guavayard/core/types/Clock';
import type KnownTarget from '@guavayard/core/types/KnownTarget';
import type TargetAnnouncement from '@guavayard/core/types/TargetAnnouncement';
import type TargetRecord from '@guavayard/core/types/TargetRecord';

import announceTarget from './directory/announceTarget';
import createDirectoryState from './directory/createDirectoryState';
import declareWarm from './directory/declareWarm';
import type DirectoryEffect from './directory/DirectoryEffect';
import type DirectoryState from './directory/DirectoryState';
import describeTarget from './directory/describeTarget';
import expireTargets from './directory/expireTargets';
import listHeldRecords from './directory/listHeldRecords';
import releaseTargets from './directory/releaseTargets';
import takeForwardedHeartbeat from './directory/takeForwardedHeartbeat';
import takeHeldRecords from './directory/takeHeldRecords';
import takeRecord from './directory/takeRecord';
import unvouchTargets from './directory/unvouchTargets';
import vouchTargets from './directory/vouchTargets';
import withdrawTarget from './directory/withdrawTarget';
import type TargetOwnership from './TargetOwnership';

/** The live targets of the system, as far as this entry knows. */
export default class TargetDirectory {
  private readonly state: DirectoryState;

  private listener: ((effects: readonly DirectoryEffect[]) => void) | undefined;

  private readonly byService = new Map<string, KnownTarget[]>();

  /** Starts of targets that this entry has found warm, by target. */
  private readonly warmStarts = new Map<string, string>();

  private seenChanges = -1;

  private seenEpoch = -1;

  /**
   * @param clock - monotonic clock
   * @param self - name of this entry
   * @param ownership - tells the owners of targets
   */
  constructor(
    private readonly clock: Clock,
    self: string,
    private readonly ownership: TargetOwnership,
  ) {
    this.state = createDirectoryState(self);
  }

  /**
   * Sets the receiver of what other entries are to be told.
   *
   * @param listener - the receiver
   */
  setListener(listener: (effects: readonly DirectoryEffect[]) => void): void {
    this.listener = listener;
  }

  /**
   * Takes an announcement that a target made to this entry.
   *
   * @param announcement - the announcement
   * @returns nothing, or `invalidAnnouncement` if later news of the target is known
   */
  announce(announcement: TargetAnnouncement): Result<undefined, Failure> {
    const effects = announceTarget(this.state, announcement, this.clock());
    if (effects.err) return effects;
    this.listener?.(effects.val);
    return Ok(undefined);
  }

  /**
   * Takes a target's withdrawal; this start of it does not come back.
   *
   * @param id - the target
   */
  withdraw(id: string): void {
    this.listener?.(withdrawTarget(this.state, id, this.clock()));
  }

  /**
   * Declares to all entries that a cold target carries its full load.
   *
   * @param target - the target, which this entry owns
   */
  declareWarm({ id, startId }: TargetAnnouncement): void {
    this.warmStarts.set(id, startId);
    this.listener?.(declareWarm(this.state, id, startId, this.clock()));
  }

  /** Ends the targets whose time to live has run out. To be called every now and then. */
  expire(): void {
    const nowMs = this.clock();
    this.listener?.(expireTargets(this.state, nowMs));
    // News of another entry at the same moment may have replaced the declaration.
    this.warmStarts.forEach((startId, id) => {
      const known = this.state.entries.get(id)?.record.announcement;
      if (known?.startId !== startId) this.warmStarts.delete(id);
      else this.listener?.(declareWarm(this.state, id, startId, nowMs));
    });
  }

  /**
   * Takes records that another entry told.
   *
   * @param from - name of the entry
   * @param records - the records
   */
  takeRecords(from: string, records: readonly TargetRecord[]): void {
    const nowMs = this.clock();
    this.listener?.(records.flatMap((record) => takeRecord(this.state, from, record, nowMs)));
  }

  /**
   * Takes the complete list of what another entry holds.
   *
   * @param from - name of the entry
   * @param records - the records
   */
  takeHeld(from: string, records: readonly TargetRecord[]): void {
    this.listener?.(takeHeldRecords(this.state, from, records, this.clock()));
  }

  /**
   * Takes the news that an entry has lost the heartbeats of some targets.
   *
   * @param from - name of the entry
   * @param targetIds - the targets
   * @param isExpired - whether they are silent
   */
  takeRelease(from: string, targetIds: readonly string[], isExpired: boolean): void {
    releaseTargets(this.state, from, targetIds, isExpired, this.clock());
  }

  /**
   * Notes that an entry vouches for all that it holds.
   *
   * @param from - name of the entry
   */
  takeVouch(from: string): void {
    vouchTargets(this.state, from, this.clock());
  }

  /**
   * Takes a heartbeat that another entry passed on.
   *
   * @param targetId - the target
   * @param startId - its start
   */
  takeHeartbeat(targetId: string, startId: string): void {
    takeForwardedHeartbeat(this.state, targetId, startId, this.clock());
  }

  /**
   * Notes that the session with an entry is over.
   *
   * @param name - name of the entry
   */
  forgetEntry(name: string): void {
    unvouchTargets(this.state, name);
  }

  /** @returns the records whose heartbeats this entry receives */
  held(): TargetRecord[] {
    return listHeldRecords(this.state);
  }

  /**
   * @param service - service name
   * @returns the live targets of the service, sorted by id
   */
  targetsOf(service: string): readonly KnownTarget[] {
    this.refresh();
    return this.byService.get(service) ?? [];
  }

  /** @returns all live targets, sorted by service and id */
  all(): readonly KnownTarget[] {
    this.refresh();
    return [...this.byService.values()].flat();
  }

  private refresh(): void {
    const epoch = this.ownership.epoch();
    if (this.seenChanges === this.state.changes && this.seenEpoch === epoch) return;
    this.seenChanges = this.state.changes;
    this.seenEpoch = epoch;
    this.byService.clear();
    [...this.state.entries.values()]
      .filter(({ isLive }) => isLive)
      .map(({ record }) => describeTarget(record))
      .sort((left, right) => (left.id < right.id ? -1 : 1))
      .forEach((target) => this.list(target));
  }

  private list(announcement: TargetAnnouncement): void {
    const target = { ...announcement, owner: this.ownership.ownerOf(announcement) };
    const targets = this.byService.get(announcement.service);
    if (targets === undefined) this.byService.set(announcement.service, [target]);
    else targets.push(target);
  }
}
