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
import applyWarmState from './directory/applyWarmState';
import expireTargets from './directory/expireTargets';
import listHeldRecords from './directory/listHeldRecords';
import releaseTargets from './directory/releaseTargets';
import handleForwardedHeartbeat from './directory/handleForwardedHeartbeat';
import applyHeldRecords from './directory/applyHeldRecords';
import applyRecord from './directory/applyRecord';
import clearConfirmations from './directory/clearConfirmations';
import confirmTargets from './directory/confirmTargets';
import withdrawTarget from './directory/withdrawTarget';
import type TargetOwnership from './TargetOwnership';

/** The live targets of the system, as known to this entry. */
export default class TargetDirectory {
  private readonly state: DirectoryState;

  private listener: ((effects: readonly DirectoryEffect[]) => void) | undefined;

  private readonly byService = new Map<string, KnownTarget[]>();

  /** Start ids of the incarnations that this entry has found warm, by target id. */
  private readonly warmStarts = new Map<string, string>();

  private indexedChanges = -1;

  private indexedEpoch = -1;

  /**
   * @param clock - monotonic clock
   * @param self - name of this entry
   * @param ownership - looks up the owners of targets
   */
  constructor(
    private readonly clock: Clock,
    self: string,
    private readonly ownership: TargetOwnership,
  ) {
    this.state = createDirectoryState(self);
  }

  /**
   * Sets the listener that sends updates to the other entries.
   *
   * @param listener - called with the updates to send
   */
  setListener(listener: (effects: readonly DirectoryEffect[]) => void): void {
    this.listener = listener;
  }

  /**
   * Handles an announcement that a target sent to this entry.
   *
   * @param announcement - the announcement
   * @returns nothing, or `invalidAnnouncement` if a later one has superseded it
   */
  announce(announcement: TargetAnnouncement): Result<undefined, Failure> {
    const effects = announceTarget(this.state, announcement, this.clock());
    if (effects.err) return effects;
    this.listener?.(effects.val);
    return Ok(undefined);
  }

  /**
   * Withdraws a target. Later announcements of the same incarnation are rejected.
   *
   * @param id - id of the target
   */
  withdraw(id: string): void {
    this.listener?.(withdrawTarget(this.state, id, this.clock()));
  }

  /**
   * Declares to all entries that a cold target carries its full load.
   *
   * @param target - a target that this entry owns
   */
  declareWarm({ id, startId }: TargetAnnouncement): void {
    this.warmStarts.set(id, startId);
    this.listener?.(declareWarm(this.state, id, startId, this.clock()));
  }

  /** Expires targets whose time to live has elapsed. Must be called periodically. */
  expire(): void {
    const nowMs = this.clock();
    this.listener?.(expireTargets(this.state, nowMs));
    // A concurrent update from another entry may have replaced the declaration.
    this.warmStarts.forEach((startId, id) => {
      const known = this.state.entries.get(id)?.record.announcement;
      if (known?.startId !== startId) this.warmStarts.delete(id);
      else this.listener?.(declareWarm(this.state, id, startId, nowMs));
    });
  }

  /**
   * Applies records received from another entry.
   *
   * @param from - name of the entry
   * @param records - the received records
   */
  receiveRecords(from: string, records: readonly TargetRecord[]): void {
    const nowMs = this.clock();
    this.listener?.(records.flatMap((record) => applyRecord(this.state, from, record, nowMs)));
  }

  /**
   * Applies the complete list of records that another entry holds.
   *
   * @param from - name of the entry
   * @param records - the received records
   */
  receiveHeldRecords(from: string, records: readonly TargetRecord[]): void {
    this.listener?.(applyHeldRecords(this.state, from, records, this.clock()));
  }

  /**
   * Records that an entry no longer receives the heartbeats of some targets.
   *
   * @param from - name of the entry
   * @param targetIds - ids of the targets
   * @param isExpired - whether no heartbeat came within their time to live
   */
  receiveRelease(from: string, targetIds: readonly string[], isExpired: boolean): void {
    releaseTargets(this.state, from, targetIds, isExpired, this.clock());
  }

  /**
   * Records that an entry confirms all targets that it holds.
   *
   * @param from - name of the entry
   */
  receiveConfirmation(from: string): void {
    confirmTargets(this.state, from, this.clock());
  }

  /**
   * Handles a heartbeat that another entry forwarded.
   *
   * @param targetId - id of the target
   * @param startId - id of its incarnation
   */
  receiveHeartbeat(targetId: string, startId: string): void {
    handleForwardedHeartbeat(this.state, targetId, startId, this.clock());
  }

  /**
   * Records that the session with an entry has closed.
   *
   * @param name - name of the entry
   */
  handleEntryClose(name: string): void {
    clearConfirmations(this.state, name);
  }

  /** @returns the records that this entry holds, including withdrawals */
  held(): TargetRecord[] {
    return listHeldRecords(this.state);
  }

  /**
   * @param service - service name
   * @returns the live targets of the service, sorted by id
   */
  targetsOf(service: string): readonly KnownTarget[] {
    this.rebuildIndex();
    return this.byService.get(service) ?? [];
  }

  /** @returns all live targets, sorted by service and id */
  all(): readonly KnownTarget[] {
    this.rebuildIndex();
    return [...this.byService.values()].flat();
  }

  private rebuildIndex(): void {
    const epoch = this.ownership.epoch();
    if (this.indexedChanges === this.state.changeCount && this.indexedEpoch === epoch) return;
    this.indexedChanges = this.state.changeCount;
    this.indexedEpoch = epoch;
    this.byService.clear();
    [...this.state.entries.values()]
      .filter(({ isLive }) => isLive)
      .map(({ record }) => applyWarmState(record))
      .sort((left, right) => (left.id < right.id ? -1 : 1))
      .forEach((target) => this.addToIndex(target));
  }

  private addToIndex(announcement: TargetAnnouncement): void {
    const target = { ...announcement, owner: this.ownership.ownerOf(announcement) };
    const targets = this.byService.get(announcement.service);
    if (targets === undefined) this.byService.set(announcement.service, [target]);
    else targets.push(target);
  }
}
