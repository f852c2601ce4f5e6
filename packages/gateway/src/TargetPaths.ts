import type Logger from 'bunyan';

import isConfirmed from '@guavayard/core/placement/isConfirmed';
import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';
import selectCandidates from '@guavayard/core/placement/selectCandidates';
import reachabilityLimits from '@guavayard/core/reachability/reachabilityLimits';
import type Clock from '@guavayard/core/types/Clock';

import ConnectionTracker from './ConnectionTracker';
import ReachabilityTracker from './ReachabilityTracker';

/**
 * Time without an answer after which a service is in doubt while another one cannot be reached, in
 * milliseconds.
 */
const DOUBTFUL_AFTER_MS = 500;

interface TargetPathsOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /** Returns the targets that would receive requests if all of them answered. */
  readonly findServing: () => PlacedTarget[];
  /** Returns whether a target is in the region of this entry. */
  readonly isNear: (target: PlacedTarget) => boolean;
  /** Runs a function after pending network events. */
  readonly defer: (run: () => void) => void;
  /** Called when a target turns out to be silent or to refuse connections. */
  readonly onSilence: () => void;
  /** Counts the open connections to an address that can take a request at once. */
  readonly countReady: (address: string) => number;
  /** Returns whether a new connection leads to the process that the last probe has told of. */
  readonly mayOpen: (address: string) => boolean;
  /** Returns how many connections to a target may carry requests of this entry. */
  readonly findLimit: (target: PlacedTarget) => number;
}

/** Tells which paths from this entry to targets work. */
export default class TargetPaths {
  /** Which services have targets that answer this entry. */
  readonly reachability: ReachabilityTracker;

  /** Which targets a request may be sent to without risking it on a new connection. */
  readonly connections: ConnectionTracker;

  /** Whether targets of a service have told their load, by service. */
  private readonly loadReports = new Map<string, boolean>();

  constructor(private readonly options: TargetPathsOptions) {
    const {
      clock, log, defer, onSilence, countReady, mayOpen, findLimit,
    } = options;
    this.reachability = new ReachabilityTracker({
      clock, log, countTargets: (service) => this.findServing(service).length, defer, onSilence,
    });
    this.connections = new ConnectionTracker({
      clock, log, countReady, mayOpen, findLimit, onRefused: onSilence,
    });
  }

  /** Starts to try a target that has registered, if its service cannot be reached without it. */
  admit({ record: { service } }: PlacedTarget): void {
    if (this.reachability.isUnreachable(service)) this.options.onSilence();
  }

  /** Records whether a response of a target told its load. */
  recordLoadReport({ record: { service } }: PlacedTarget, hasLoad: boolean): void {
    if (hasLoad || !this.loadReports.has(service)) this.loadReports.set(service, hasLoad);
  }

  /**
   * Returns whether the targets of a service answer probes beside their work, as those do that tell
   * their load. With the others a probe waits for a free slot, so that its delay tells nothing.
   *
   * @param service - the service
   * @returns whether they do, undefined if none has responded yet
   */
  answersProbesAtOnce(service: string): boolean | undefined {
    return this.loadReports.get(service);
  }

  /** Forgets a target that is gone. */
  forget(target: PlacedTarget): void {
    this.reachability.forget(target);
    this.connections.forget(target.record.address);
  }

  /**
   * Finds targets that show whether the path to a target works as far as others use it, too.
   *
   * @param target - the target
   * @param count - most targets to return
   * @returns other targets of its region, of any service
   */
  findWitnesses(target: PlacedTarget, count: number): PlacedTarget[] {
    const others = this.options.findServing()
      .filter((other) => other !== target && other.region === target.region);
    const confirmed = others.filter(isConfirmed);
    return selectCandidates(confirmed.length > 0 ? confirmed : others, count, 0).slice(0, count);
  }

  /** Records that a target answered a request or a probe of this entry. */
  recordAnswer(target: PlacedTarget): void {
    const state = target;
    state.unansweredProbes = 0;
    state.silentProbes = 0;
    state.lastAnswerAtMs = this.options.clock();
    state.unreachableUntilMs = -Infinity;
    this.reachability.recordAnswer(target);
  }

  /**
   * Finds the targets to probe in order to learn whether the paths to them work: silent and untried
   * ones of services of which too many are silent, those to which only a new connection would lead
   * while targets refuse new ones, and, while a service cannot be reached at all, some of the
   * services that have not been heard from lately.
   *
   * @returns the targets, none if all paths seem to work
   */
  findDoubtful(): PlacedTarget[] {
    const byService = new Map<string, PlacedTarget[]>();
    this.options.findServing().forEach((target) => {
      const { service } = target.record;
      byService.set(service, [...byService.get(service) ?? [], target]);
    });
    return [...byService].flatMap(([service, targets]) => {
      if (this.isMostlySilent(service)) {
        return targets.filter((target) => (
          this.reachability.isSilent(target) || this.reachability.isUntried(target)));
      }
      if (this.connections.areRefused) {
        return targets.filter((target) => !this.connections.maySend(target));
      }
      const isDoubtful = this.reachability.unreachableCount > 0
        && !this.reachability.hasAnsweredWithin(service, DOUBTFUL_AFTER_MS);
      if (!isDoubtful) return [];
      const near = targets.filter((target) => this.options.isNear(target));
      return selectCandidates(near, reachabilityLimits.minSilentTargets, 0);
    });
  }

  /**
   * Returns whether this entry cannot reach most of the targets that it would send requests of a
   * service to, although the others may have no free slot.
   *
   * @param service - the service
   * @returns true if most targets of the service in this region are silent, or none answers at all
   */
  isMostlySilent(service: string): boolean {
    if (this.reachability.isUnreachable(service)) return true;
    const serving = this.findServing(service);
    const near = serving.filter((target) => this.options.isNear(target));
    const inReach = near.length > 0 ? near : serving;
    const silent = inReach.filter((target) => this.reachability.isSilent(target)).length;
    return silent > 0 && silent >= reachabilityLimits.mostlySilentShare * inReach.length;
  }

  /**
   * Returns whether another entry should serve the requests for which this one finds no target.
   *
   * @param service - the service
   * @returns true if most targets in reach are silent, or none takes a new connection
   */
  isCutOff(service: string): boolean {
    return this.connections.areRefused || this.isMostlySilent(service);
  }

  private findServing(service: string): PlacedTarget[] {
    return this.options.findServing().filter(({ record }) => record.service === service);
  }
}
