import type Logger from 'bunyan';

import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';
import createServiceReachability from '@guavayard/core/reachability/createServiceReachability';
import findSilenceLimit from '@guavayard/core/reachability/findSilenceLimit';
import hasAnsweredSince from '@guavayard/core/reachability/hasAnsweredSince';
import hasLostTargets from '@guavayard/core/reachability/hasLostTargets';
import isSilentTarget from '@guavayard/core/reachability/isSilentTarget';
import recordContactFailure from '@guavayard/core/reachability/recordContactFailure';
import recordProbeStall from '@guavayard/core/reachability/recordProbeStall';
import recordProbeSent from '@guavayard/core/reachability/recordProbeSent';
import recordTargetAnswer from '@guavayard/core/reachability/recordTargetAnswer';
import type ServiceReachability from '@guavayard/core/reachability/ServiceReachability';
import type Clock from '@guavayard/core/types/Clock';

interface ReachabilityTrackerOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /** Number of targets of a service that this entry may send to. */
  readonly countTargets: (service: string) => number;
  /**
   * Runs a function after pending network events. A process that was paused finds answers there
   * that arrived meanwhile.
   */
  readonly defer: (run: () => void) => void;
  /** Called when a target turns out to be silent. */
  readonly onSilence: () => void;
}

/** Keeps track of which services have targets that answer this entry. */
export default class ReachabilityTracker {
  private readonly services = new Map<string, ServiceReachability>();

  /** Services whose evidence is examined again after pending network events. */
  private readonly suspected = new Set<string>();

  constructor(private readonly options: ReachabilityTrackerOptions) {}

  /** Number of services of which no target can be reached. */
  get unreachableCount(): number {
    return [...this.services.values()]
      .filter(({ unreachableSinceMs }) => unreachableSinceMs !== undefined).length;
  }

  /** Records that a probe was sent to a target. */
  recordProbe({ record }: PlacedTarget): void {
    recordProbeSent(this.stateOf(record.service), record.id, this.options.clock());
  }

  /** Records for how long this process stood still while a probe was under way, in milliseconds. */
  recordStall({ record: { id, service } }: PlacedTarget, stalledMs: number): void {
    recordProbeStall(this.stateOf(service), id, stalledMs, this.options.clock());
  }

  /** Records that a target answered a request or a probe. */
  recordAnswer({ record: { id, service } }: PlacedTarget): void {
    const forMs = recordTargetAnswer(this.stateOf(service), id, this.options.clock());
    if (forMs === undefined) return;
    this.options.log.info({ service, target: id, forMs: Math.round(forMs) }, 'targets of the service answer again');
  }

  /** Records that a connection to a target was refused or broken off. */
  recordFailure({ record: { id, service } }: PlacedTarget): void {
    recordContactFailure(this.stateOf(service), id, this.options.clock());
    this.options.onSilence();
    this.examine(service);
  }

  /** Forgets a target that is gone. Once all silent ones are, the others have yet to be tried. */
  forget({ record: { id, service } }: PlacedTarget): void {
    const state = this.services.get(service);
    if (state?.unanswered.delete(id) !== true || state.unanswered.size > 0) return;
    if (state.unreachableSinceMs === undefined) return;
    state.unreachableSinceMs = undefined;
    this.options.log.info({ service }, 'no silent target of the service is left');
  }

  /** @returns whether a target has never answered, and no probe of it is unanswered */
  isUntried({ record: { id, service }, lastAnswerAtMs }: PlacedTarget): boolean {
    return lastAnswerAtMs === -Infinity && this.stateOf(service).unanswered.get(id) === undefined;
  }

  /** @returns whether no target of a service can be reached */
  isUnreachable(service: string): boolean {
    this.examine(service);
    return this.stateOf(service).unreachableSinceMs !== undefined;
  }

  /** @returns whether a target has left its probes unanswered for too long */
  isSilent({ record: { id, service } }: PlacedTarget): boolean {
    return isSilentTarget(this.stateOf(service), id, this.options.clock());
  }

  /** @returns whether a target of a service has answered within some time, in milliseconds */
  hasAnsweredWithin(service: string, ms: number): boolean {
    return this.options.clock() - this.stateOf(service).lastAnswerAtMs <= ms;
  }

  /** @returns whether the targets that were probed since a time have left it unanswered */
  isUnansweredSince(service: string, sinceMs: number): boolean {
    return !hasAnsweredSince(this.stateOf(service), sinceMs);
  }

  private examine(service: string): void {
    if (this.suspected.has(service) || !this.isNewlyLost(service)) return;
    this.suspected.add(service);
    this.options.defer(() => {
      this.suspected.delete(service);
      if (this.isNewlyLost(service)) this.declareUnreachable(service);
    });
  }

  private isNewlyLost(service: string): boolean {
    const state = this.stateOf(service);
    return state.unreachableSinceMs === undefined
      && hasLostTargets(state, this.options.countTargets(service), this.options.clock());
  }

  private declareUnreachable(service: string): void {
    const state = this.stateOf(service);
    const nowMs = this.options.clock();
    state.unreachableSinceMs = nowMs;
    const { lastAnswerAtMs } = state;
    this.options.log.warn({
      service,
      silentTargets: state.unanswered.size,
      silentAfterMs: Math.round(findSilenceLimit(state, nowMs)),
      lastAnswerMs: lastAnswerAtMs === -Infinity ? undefined : Math.round(nowMs - lastAnswerAtMs),
      unreachableServices: this.unreachableCount,
      services: this.services.size,
    }, 'no target of the service answers');
  }

  private stateOf(service: string): ServiceReachability {
    const known = this.services.get(service);
    if (known !== undefined) return known;
    const state = createServiceReachability();
    this.services.set(service, state);
    return state;
  }
}
