import { Ok, type Result } from 'ts-results';

import DictionaryLoadHeaderParser from '../choice/DictionaryLoadHeaderParser';
import type Selection from '../choice/Selection';
import TargetSelector from '../choice/TargetSelector';
import fail from '../errors/fail';
import type Failure from '../errors/Failure';
import DataCentreRamp from '../limits/DataCentreRamp';
import TokenBucket from '../limits/TokenBucket';
import type Configuration from '../types/Configuration';
import type KnownTarget from '../types/KnownTarget';
import type LoadReport from '../types/LoadReport';
import type Admission from './Admission';
import type Assignment from './Assignment';
import type AttemptResult from './AttemptResult';
import defaultOptions from './defaultOptions';
import AttemptResultRecorder from './AttemptResultRecorder';
import LoadExchange from './LoadExchange';
import type LoadSharing from './LoadSharing';
import type OutstandingAttempt from './OutstandingAttempt';
import type ScheduledAttempt from './ScheduledAttempt';
import type Scheduler from './Scheduler';
import type SchedulerContext from './SchedulerContext';
import type SchedulingOptions from './SchedulingOptions';
import ServiceState from './ServiceState';
import type TargetState from './TargetState';
import TargetTable from './TargetTable';
import type WaitingAdmission from './WaitingAdmission';

/** Attempts without a target after which one pass over a queue stops. */
const MAX_BLOCKED = 4;
/** Estimated bytes that one exchange sends over a link between regions. */
const EXCHANGE_BYTES = 16 * 1024;

type OnDecision = WaitingAdmission['onDecision'];

/**
 * Assigns each attempt to the target with the lowest expected response time. Attempts for which no
 * target has free capacity wait in the entry, earliest deadline first.
 */
export default class LoadAwareScheduler implements Scheduler, LoadSharing {
  private readonly services = new Map<string, ServiceState>();

  private readonly targets: TargetTable;

  private readonly exchange: LoadExchange;

  private readonly selector: TargetSelector;

  private readonly recorder: AttemptResultRecorder;

  private readonly dataCentres = new DataCentreRamp();

  private readonly remoteBytes: TokenBucket;

  /**
   * @param context - dependencies of the scheduler
   * @param options - scheduling options
   */
  constructor(
    private readonly context: SchedulerContext,
    private readonly options: SchedulingOptions = defaultOptions,
  ) {
    const { entryName, random, listener } = context;
    this.remoteBytes = new TokenBucket(options.remoteBytesPerSecond, options.remoteBytesPerSecond);
    this.targets = new TargetTable(entryName);
    this.exchange = new LoadExchange(this.targets, options, () => this.drainAll());
    this.selector = new TargetSelector(
      entryName,
      this.targets,
      this.dataCentres,
      this.remoteBytes,
      options,
      random,
    );
    this.recorder = new AttemptResultRecorder(new DictionaryLoadHeaderParser(), options, listener);
  }

  schedule(admission: Admission, onDecision: OnDecision): ScheduledAttempt {
    const service = this.serviceOf(admission.match.serviceName);
    const waiting = { admission, onDecision, arrivedAtMs: this.context.clock() };
    const refusal = LoadAwareScheduler.checkBudget(service, admission);
    const decision = refusal ?? this.decide(service, waiting, service.queue.length === 0);
    if (decision !== undefined) onDecision(decision);
    else this.wait(service, waiting);
    return { cancel: () => service.queue.remove(waiting) };
  }

  /**
   * Observes the configuration in force, to detect data centres that return.
   *
   * @param configuration - the configuration
   */
  observeConfiguration(configuration: Configuration): void {
    this.dataCentres.observe(configuration, this.context.clock());
  }

  /**
   * Fails queued attempts whose deadlines can no longer be met, and dispatches those that a target
   * can take. Called every few milliseconds.
   */
  tick(): void {
    const nowMs = this.context.clock();
    this.services.forEach((service) => {
      if (service.queue.length === 0) return;
      service.queue.removeInfeasible(nowMs + service.latencies.medianMs)
        .forEach(({ onDecision }) => onDecision(fail('deadlineUnreachable')));
    });
    this.drainAll();
  }

  collectReport(nowMs: number): LoadReport | undefined {
    return this.exchange.collectReport(nowMs);
  }

  applyReport(entryName: string, report: LoadReport, nowMs: number): void {
    this.exchange.applyReport(entryName, report, nowMs);
  }

  discardEntryLoads(entryName: string): void {
    this.exchange.discardEntryLoads(entryName);
  }

  /**
   * @param target - a target
   * @returns when it last reported its load, in milliseconds of the monotonic clock
   */
  lastReportedAtMs(target: KnownTarget): number {
    return this.targets.stateOf(target).report?.atMs ?? -Infinity;
  }

  /**
   * Records the load that a target reported in response to a probe.
   *
   * @param target - the target
   * @param loadHeader - value of its `guavayard-load` header
   */
  recordProbedLoad(target: KnownTarget, loadHeader: string): void {
    this.recorder.recordReportedLoad(
      this.targets.stateOf(target),
      loadHeader,
      this.context.clock(),
    );
  }

  private serviceOf(name: string): ServiceState {
    const known = this.services.get(name);
    if (known !== undefined) return known;
    const created = new ServiceState(this.options);
    this.services.set(name, created);
    return created;
  }

  private static checkBudget(
    service: ServiceState,
    admission: Admission,
  ): Result<never, Failure> | undefined {
    if (admission.purpose === 'first') {
      service.retries.recordFirst();
      service.hedges.recordFirst();
      return undefined;
    }
    const budget = admission.purpose === 'retry' ? service.retries : service.hedges;
    return budget.hasTokens() ? undefined : fail('attemptBudgetExhausted', admission.purpose);
  }

  /** Returns the decision on an attempt, or undefined if the attempt has to wait. */
  private decide(
    service: ServiceState,
    waiting: WaitingAdmission,
    maySelect: boolean,
  ): Result<Assignment, Failure> | undefined {
    const { admission, arrivedAtMs } = waiting;
    const { triedTargetIds, purpose } = admission;
    const nowMs = this.context.clock();
    const candidates = this.context.findCandidates(admission);
    service.setCandidateCount(candidates.length);
    const isHedge = purpose === 'hedge';
    if (candidates.every(({ target }) => triedTargetIds.includes(target.id))) {
      return fail('noTarget', `service "${admission.match.serviceName}"`);
    }
    const selection = maySelect || isHedge ? this.selector.select({
      candidates, triedTargetIds, service, waitedMs: nowMs - arrivedAtMs, isHedge, nowMs,
    }) : undefined;
    if (selection !== undefined) return Ok(this.assign(service, selection, admission));
    if (isHedge) return fail('overloaded', 'no target is free');
    const relayTarget = this.selector.findRelayTarget(candidates);
    return relayTarget === undefined ? undefined : Ok(LoadAwareScheduler.relay(relayTarget));
  }

  private wait(service: ServiceState, waiting: WaitingAdmission): void {
    const { queue, latencies } = service;
    if (queue.isFull) {
      waiting.onDecision(fail('overloaded', 'the queue is full'));
      return;
    }
    const responseAtMs = waiting.arrivedAtMs + service.estimateWaitMs() + latencies.medianMs;
    if (responseAtMs > waiting.admission.deadlineMs) {
      waiting.onDecision(fail('deadlineUnreachable'));
      return;
    }
    queue.add(waiting);
  }

  private assign(service: ServiceState, selection: Selection, admission: Admission): Assignment {
    const { candidate: { target, distance }, state } = selection;
    const attempt: OutstandingAttempt = { startedAtMs: this.context.clock() };
    state.outstanding.add(attempt);
    service.addInFlight(1);
    if (admission.purpose === 'retry') service.retries.take();
    if (admission.purpose === 'hedge') service.hedges.take();
    if (distance === 'remote') this.remoteBytes.take(EXCHANGE_BYTES);
    this.exchange.recordChange(state);
    return {
      target,
      relayTo: undefined,
      finish: (result) => this.finish(service, state, target, attempt, result),
    };
  }

  private static relay(target: KnownTarget): Assignment {
    return { target, relayTo: target.owner, finish() {} };
  }

  private finish(
    service: ServiceState,
    state: TargetState,
    target: KnownTarget,
    attempt: OutstandingAttempt,
    result: AttemptResult,
  ): void {
    if (!state.outstanding.delete(attempt)) return;
    service.addInFlight(-1);
    const nowMs = this.context.clock();
    this.recorder.record(service, state, target, result, nowMs - attempt.startedAtMs, nowMs);
    this.exchange.recordChange(state);
    this.drain(service);
  }

  private drainAll(): void {
    this.services.forEach((service) => this.drain(service));
  }

  private drain(service: ServiceState): void {
    const { queue } = service;
    let blocked = 0;
    while (blocked < Math.min(MAX_BLOCKED, queue.length)) {
      const waiting = queue.at(blocked) as WaitingAdmission;
      const decision = this.decide(service, waiting, true);
      if (decision === undefined) {
        blocked += 1;
      } else {
        queue.remove(waiting);
        waiting.onDecision(decision);
      }
    }
  }
}
