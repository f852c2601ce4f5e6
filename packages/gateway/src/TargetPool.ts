import type Logger from 'bunyan';

import findConnectionLimit from '@guavayard/core/connections/findConnectionLimit';
import EntryShareTracker from '@guavayard/core/placement/EntryShareTracker';
import maySendToColdTarget from '@guavayard/core/placement/maySendToColdTarget';
import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';
import recordSendTime from '@guavayard/core/placement/recordSendTime';
import RosterHistory from '@guavayard/core/placement/RosterHistory';
import type Declaration from '@guavayard/core/registry/Declaration';
import findService from '@guavayard/core/registry/findService';
import type RegisteredTarget from '@guavayard/core/registry/RegisteredTarget';
import type Clock from '@guavayard/core/types/Clock';
import estimateRestWait from '@guavayard/core/rest/estimateRestWait';
import isResting from '@guavayard/core/rest/isResting';
import mayReturn from '@guavayard/core/rest/mayReturn';
import restLimits from '@guavayard/core/rest/restLimits';
import type Random from '@guavayard/core/types/Random';
import type RequestLimitNotice from '@guavayard/core/requestLimit/RequestLimitNotice';

import type EntryLocation from './EntryLocation';
import RequestLimitTracker from './RequestLimitTracker';
import ServiceVersions from './ServiceVersions';
import TargetNotices from './TargetNotices';
import TargetPaths from './TargetPaths';
import TargetTable from './TargetTable';

/** Targets for which a part of the share is given up with one request. */
const MAX_PERMITS = 1;

interface TargetPoolOptions {
  readonly clock: Clock;
  /** Monotonic clock that counts suspends of the VM. */
  readonly elapsedClock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /** This entry. */
  readonly location: EntryLocation;
  /** Region of each data centre. */
  readonly regionOf: (dataCentre: string) => string;
  readonly coldBurstFactor: number;
  readonly coldSlack: number;
  /** Time without control after which versions of roll-outs get no request, in milliseconds. */
  readonly contactTimeoutMs: number;
  /** Longest window of a limit that all entries share, in milliseconds. */
  readonly shareWindowMs: number;
  /** Called with the address of a target that was removed. */
  readonly onTargetRemoved: (address: string) => void;
  /** Tells the other entries of the request limit of a target. */
  readonly shareLimit: (notice: RequestLimitNotice) => void;
  /** Tells control that an incarnation of a target is about to leave. */
  readonly reportLeaving: (targetId: string, bornAtMs: number) => void;
  /** Runs a function after pending network events. */
  readonly defer: (run: () => void) => void;
  /** Called when a target turns out to be silent or to refuse connections. */
  readonly onSilence: () => void;
  /** Counts the open connections to an address that can take a request at once. */
  readonly countReady: (address: string) => number;
  /** Returns whether a new connection leads to the process that the last probe has told of. */
  readonly mayOpen: (address: string) => boolean;
}

/** Table of the targets that this entry knows; selects those that may receive a request. */
export default class TargetPool {
  private readonly targets: TargetTable;

  private declaration: Declaration | undefined;

  private evacuated: ReadonlySet<string> = new Set();

  /** The entries of the system; undefined until they are known. */
  private entries: readonly EntryLocation[] | undefined;

  /** Request limits of the targets. */
  readonly limits: RequestLimitTracker;

  /** What the targets say of themselves. */
  readonly notices: TargetNotices;

  /** Which versions of services get requests. */
  readonly versions: ServiceVersions;

  /** Which paths to targets work. */
  readonly paths: TargetPaths;

  /** The entries of this entry's region, of late: only these send to its cold targets. */
  private readonly nearRosters: RosterHistory;

  /** Share of this entry in limits that all entries keep together. */
  readonly share: EntryShareTracker;

  private limitContext = '';

  constructor(private readonly options: TargetPoolOptions) {
    this.targets = new TargetTable({
      ...options,
      entryName: options.location.name,
      onAdded: (target) => {
        this.paths.admit(target);
        this.notices.extendCold(target, target.record.coldLeftMs);
      },
      onUpdated: (target) => this.notices.extendCold(target, target.record.coldLeftMs),
      onRemoved: (target) => {
        this.paths.forget(target);
        options.onTargetRemoved(target.record.address);
      },
    });
    this.nearRosters = new RosterHistory(options.elapsedClock());
    this.limits = new RequestLimitTracker({
      clock: options.clock,
      log: options.log,
      entryName: options.location.name,
      share: options.shareLimit,
    });
    this.notices = new TargetNotices(options);
    this.versions = new ServiceVersions(options);
    this.share = new EntryShareTracker(options.shareWindowMs);
    this.paths = new TargetPaths({
      ...options,
      findServing: () => this.targets.list().filter((target) => this.isServing(target)),
      isNear: (target) => this.isNear(target),
      findLimit: ({ record: { service, slots } }) => findConnectionLimit({
        accepted: findService(this.declaration, service)?.connectionLimit,
        slots,
        entryCount: this.share.findCount(options.clock()),
      }),
    });
  }

  /** Number of known targets. */
  get targetCount(): number {
    return this.targets.size;
  }

  /** Replaces the list of entries of the system. */
  setEntries(entries: readonly EntryLocation[]): void {
    this.entries = entries;
    const nearNames = entries.filter(({ region }) => region === this.options.location.region)
      .map(({ name }) => name);
    this.nearRosters.setEntries(nearNames, this.options.elapsedClock());
    this.versions.setEntries(entries.map(({ name }) => name), this.options.location.name);
    // Control may not have heard of this entry yet.
    const names = new Set([this.options.location.name, ...entries.map(({ name }) => name)]);
    this.share.recordCount(names.size, this.options.clock());
    this.updateLimitContext();
  }

  /** Counts of the roll-outs that are under way. */
  get rolloutCounts(): ReturnType<ServiceVersions['list']> {
    return this.versions.list(this.targets.list());
  }

  /** Records whether this entry follows control. */
  setFollowing(isFollowing: boolean): void {
    this.nearRosters.setFollowing(isFollowing, this.options.elapsedClock());
  }

  /** Records that the process runs; called at least once a second. */
  observeTime(): void {
    this.nearRosters.observe(this.options.elapsedClock());
  }

  /**
   * Applies the state that the control VMs registered.
   *
   * @param declaration - the declaration in force
   * @param evacuated - data centres that receive no new requests
   * @param records - all registered targets, by id
   */
  update(
    declaration: Declaration | undefined,
    evacuated: ReadonlySet<string>,
    records: ReadonlyMap<string, RegisteredTarget>,
  ): void {
    const restored = [...this.evacuated].filter((dataCentre) => !evacuated.has(dataCentre));
    this.declaration = declaration;
    this.evacuated = evacuated;
    if (restored.length > 0) this.requireProbes(restored);
    this.targets.update(records);
    this.updateLimitContext();
  }

  /**
   * Finds the targets that may receive a request now.
   *
   * @param service - the service
   * @param homeRegions - the only regions that may serve it; undefined if every region may
   * @param triedIds - ids of the targets of earlier attempts
   * @param permittedIds - ids of targets whose request limits allow the request anyway
   * @param isCanary - whether the request was chosen for the target version of a roll-out
   * @returns the targets, those of this entry's region first
   */
  findEligible(
    service: string,
    homeRegions: readonly string[] | undefined,
    triedIds: readonly string[],
    permittedIds: readonly string[] = [],
    isCanary = false,
  ): PlacedTarget[] {
    const nowMs = this.options.clock();
    const allowed = this.findUsable(service, homeRegions, triedIds)
      .filter((target) => mayReturn(target, nowMs)
        && (permittedIds.includes(target.record.id) || this.limits.allows(target)));
    return this.versions.filter(service, allowed, isCanary);
  }

  /**
   * Estimates when a request may be sent to one of the targets that have reached their limits or
   * have asked for time.
   *
   * @param service - the service
   * @param homeRegions - the only regions that may serve it; undefined if every region may
   * @param triedIds - ids of the targets of earlier attempts
   * @param ahead - queued requests that are served first
   * @returns the time until then in milliseconds, undefined if no target has a limit or rests
   */
  estimateWaitMs(
    service: string,
    homeRegions: readonly string[] | undefined,
    triedIds: readonly string[],
    ahead: number,
  ): number | undefined {
    const nowMs = this.options.clock();
    const usable = this.versions
      .filter(service, this.findUsable(service, homeRegions, triedIds), false);
    const awake = usable.filter((target) => !isResting(target, nowMs));
    const limitWaitMs = this.limits.estimateWaitMs(awake, ahead) ?? Infinity;
    const restWaitMs = estimateRestWait(usable, ahead, nowMs) ?? Infinity;
    if (limitWaitMs <= restWaitMs) return limitWaitMs === Infinity ? undefined : limitWaitMs;
    return restWaitMs * (1 + restLimits.callerSpreadShare * this.options.random());
  }

  /** Finds the targets that may receive a request as far as limits and rest allow it. */
  private findUsable(
    service: string,
    homeRegions: readonly string[] | undefined,
    triedIds: readonly string[],
  ): PlacedTarget[] {
    const nowMs = this.options.clock();
    return this.targets.list().filter((target) => {
      const { record, region } = target;
      if (record.service !== service || !this.isServing(target)) return false;
      if (triedIds.includes(record.id)) return false;
      if (homeRegions !== undefined && !homeRegions.includes(region)) return false;
      if (target.ejectedUntilMs > nowMs || target.unreachableUntilMs > nowMs) return false;
      return this.isWithinColdLimit(target, nowMs);
    });
  }

  /** @returns the targets in the region of this entry that receive requests */
  findNearTargets(): PlacedTarget[] {
    const nowMs = this.options.clock();
    return this.targets.list().filter((target) => this.isNear(target)
      && this.isServing(target) && target.ejectedUntilMs <= nowMs
      && target.unreachableUntilMs <= nowMs);
  }

  /** @returns whether a target is still registered, as the incarnation that it was */
  includes(target: PlacedTarget): boolean {
    return this.targets.get(target.record.id) === target;
  }

  /** @returns whether a target is in the region of this entry */
  isNear(target: PlacedTarget): boolean {
    return target.region === this.options.location.region;
  }

  /** Records the request limits that other entries have learnt. */
  recordLimitNotices(notices: readonly RequestLimitNotice[]): void {
    notices.forEach((notice) => {
      const target = this.targets.get(notice.targetId);
      if (target !== undefined) this.limits.recordNotice(target, notice);
    });
  }

  /** @returns the number of targets that name a request limit */
  get limitedCount(): number {
    return this.targets.list().filter(({ requestLimit }) => requestLimit !== undefined)
      .length;
  }

  /**
   * Records that a request is sent to a target.
   *
   * @param target - the target
   * @param permittedIds - ids of targets for which another entry has given up a part of its share
   * @param isCanary - whether the request was chosen for the target version of a roll-out
   */
  recordSend(target: PlacedTarget, permittedIds: readonly string[], isCanary = false): void {
    this.versions.recordSend(target, isCanary);
    const state = target;
    const nowMs = this.options.clock();
    state.lastSentAtMs = nowMs;
    state.lastAskedAtMs = nowMs;
    recordSendTime(target, nowMs);
    if (!permittedIds.includes(target.record.id)) target.requestLimit?.allowance?.take(1);
  }

  /**
   * Takes one request of the share of this entry in request limits, which another entry may use:
   * the sum over all entries stays the same.
   *
   * @param service - the service of the request
   * @param homeRegions - the only regions that may serve it; undefined if every region may
   * @param triedIds - ids of the targets of earlier attempts
   * @returns the ids of the targets, none if no limited target allows a request now
   */
  takePermits(
    service: string,
    homeRegions: readonly string[] | undefined,
    triedIds: readonly string[],
  ): string[] {
    const nowMs = this.options.clock();
    const limited = this.targets.list().filter((target) => target.requestLimit !== undefined
      && target.record.service === service && this.isServing(target)
      && !triedIds.includes(target.record.id)
      && (homeRegions === undefined || homeRegions.includes(target.region))
      && this.limits.allows(target));
    const allowed = this.versions.filter(service, limited, false);
    const available = ({ requestLimit }: PlacedTarget): number => (
      requestLimit?.allowance?.available(nowMs) ?? 0);
    return allowed.sort((a, b) => available(b) - available(a))
      .slice(0, MAX_PERMITS)
      .map((target) => {
        target.requestLimit?.allowance?.take(1);
        return target.record.id;
      });
  }

  /** @returns the declared path for probes of a service */
  healthPathOf(service: string): string | undefined {
    return findService(this.declaration, service)?.healthPath;
  }

  private isWithinColdLimit(target: PlacedTarget, nowMs: number): boolean {
    if (target.coldUntilMs <= nowMs) return true;
    // Only the entries of a cold target's region share its request limit.
    if (!this.isNear(target)) return false;
    const {
      coldBurstFactor, coldSlack, location, elapsedClock,
    } = this.options;
    const declared = findService(this.declaration, target.record.service);
    return maySendToColdTarget(target, {
      requestsPerSecond: (declared?.coldRequestsPerSecond ?? 0) * coldBurstFactor + coldSlack,
      rosters: this.nearRosters.findRecent(elapsedClock()),
    }, location.name, nowMs);
  }

  private isServing(target: PlacedTarget): boolean {
    const { record, leaving } = target;
    return record.state === 'ready' && leaving === undefined
      && !this.evacuated.has(record.dataCentre) && this.versions.isWanted(target);
  }

  /** Updates what determines the shares of request limits, if it has changed. */
  private updateLimitContext(): void {
    const regionsOf = new Map<string, Set<string>>();
    this.targets.list().forEach(({ record, region }) => {
      const regions = regionsOf.get(record.service) ?? new Set();
      regionsOf.set(record.service, regions.add(region));
    });
    const context = JSON.stringify([
      this.entries ?? [],
      this.declaration?.version,
      [...regionsOf].map(([service, regions]) => `${service} ${[...regions].sort().join()}`).sort(),
    ]);
    if (context === this.limitContext) return;
    this.limitContext = context;
    const routes = Object.values(this.declaration?.routes ?? {});
    this.limits.setContext({ entries: this.entries ?? [], routes, regionsOf });
  }

  /** Requires a probe of targets that may have become cold while they were evacuated. */
  private requireProbes(dataCentres: readonly string[]): void {
    const nowMs = this.options.clock();
    this.targets.list().forEach((target) => {
      const state = target;
      if (dataCentres.includes(target.record.dataCentre)) state.probeDueSinceMs = nowMs;
    });
  }
}
