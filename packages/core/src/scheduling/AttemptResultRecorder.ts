import type LoadHeaderParser from '../choice/LoadHeaderParser';
import recordColdResult from '../coldstart/recordColdResult';
import type KnownTarget from '../types/KnownTarget';
import type AttemptResult from './AttemptResult';
import type SchedulerListener from './SchedulerListener';
import type SchedulingOptions from './SchedulingOptions';
import type ServiceState from './ServiceState';
import type TargetState from './TargetState';

/** A failure counts as a response that is this many times slower than the median. */
const FAILURE_SLOWNESS = 10;
const MAX_SLOWNESS = 10;
const SERVER_ERROR_STATUS = 500;

function isSuccess(result: AttemptResult): boolean {
  return result.evidence === 'answered' && (result.status ?? 0) < SERVER_ERROR_STATUS;
}

/** Updates the state of targets and services from the results of attempts. */
export default class AttemptResultRecorder {
  constructor(
    private readonly parser: LoadHeaderParser,
    private readonly options: SchedulingOptions,
    private readonly listener: SchedulerListener,
  ) {}

  /**
   * Records the result of an attempt.
   *
   * @param service - state of its service
   * @param state - state of its target, from which the attempt has been removed
   * @param target - its target
   * @param result - the result
   * @param latencyMs - duration of the attempt, in milliseconds
   * @param nowMs - monotonic clock, in milliseconds
   */
  record(
    service: ServiceState,
    state: TargetState,
    target: KnownTarget,
    result: AttemptResult,
    latencyMs: number,
    nowMs: number,
  ): void {
    this.recordReportedLoad(state, result.loadHeader, nowMs);
    this.recordCold(service, state, target, result, latencyMs, nowMs);
    if (isSuccess(result)) {
      if (state.coldRamp === undefined) service.latencies.record(latencyMs);
      service.outliers.recordSuccess(target.id);
      state.consecutiveFailures = 0;
      this.recordSlowness(state, latencyMs / service.latencies.medianMs, nowMs);
      return;
    }
    if (result.evidence === 'cancelled') {
      this.recordSlowness(state, latencyMs / service.latencies.medianMs, nowMs);
      return;
    }
    state.consecutiveFailures += 1;
    this.recordSlowness(state, FAILURE_SLOWNESS, nowMs);
    service.outliers.recordFailure(
      target.id,
      state.consecutiveFailures,
      service.candidateCount,
      nowMs,
    );
  }

  /**
   * Records the load that a target reported in a response to a request or a probe.
   *
   * @param state - state of the target
   * @param header - value of its `guavayard-load` header, if present
   * @param nowMs - monotonic clock, in milliseconds
   */
  recordReportedLoad(state: TargetState, header: string | undefined, nowMs: number): void {
    if (header === undefined) return;
    const load = this.parser.parse(header);
    if (load === undefined) return;
    state.report = {
      inFlight: load.inFlight, ownInFlight: state.outstanding.size, atMs: nowMs,
    };
  }

  private recordSlowness(state: TargetState, ratio: number, nowMs: number): void {
    const weight = Math.exp((state.slownessAtMs - nowMs) / this.options.slownessDecayMs);
    const decayed = 1 + (state.slowness - 1) * weight;
    state.slowness = (decayed + Math.min(MAX_SLOWNESS, Math.max(1, ratio))) / 2;
    state.slownessAtMs = nowMs;
  }

  private recordCold(
    service: ServiceState,
    state: TargetState,
    target: KnownTarget,
    result: AttemptResult,
    latencyMs: number,
    nowMs: number,
  ): void {
    const ramp = state.coldRamp;
    if (ramp === undefined) return;
    if (result.evidence === 'cancelled') {
      // The target may keep running a cancelled request for a while.
      ramp.backoffUntilMs = Math.max(ramp.backoffUntilMs, nowMs + service.latencies.medianMs);
      return;
    }
    const { latencies } = service;
    const referenceMs = latencies.hasEnoughSamples ? latencies.medianMs : undefined;
    recordColdResult(ramp, isSuccess(result), latencyMs, referenceMs, nowMs);
    if (ramp.limit <= target.slots) return;
    state.coldRamp = undefined;
    state.isWarm = true;
    this.listener.onWarm(target);
  }
}
