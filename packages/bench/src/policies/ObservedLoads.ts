import type AttemptResult from '@guavayard/core/scheduling/AttemptResult';

const IN_FLIGHT = /in-flight=(\d+)/;
/** Weight of the latest sample in the moving average. */
const LATENCY_WEIGHT = 0.2;

/** Latest reported load and moving average of the latency per target, for baseline policies. */
export default class ObservedLoads {
  private readonly reported = new Map<string, number>();

  private readonly latenciesMs = new Map<string, number>();

  /**
   * Records a finished attempt.
   *
   * @param targetId - the target
   * @param result - the result of the attempt
   * @param latencyMs - duration of the attempt, in milliseconds
   */
  record(targetId: string, result: AttemptResult, latencyMs: number): void {
    const inFlight = IN_FLIGHT.exec(result.loadHeader ?? '')?.[1];
    if (inFlight !== undefined) this.reported.set(targetId, Number(inFlight));
    const previousMs = this.latenciesMs.get(targetId) ?? latencyMs;
    this.latenciesMs.set(targetId, previousMs + (latencyMs - previousMs) * LATENCY_WEIGHT);
  }

  /**
   * @param targetId - the target
   * @returns requests in flight according to its latest report; 0 without a report
   */
  reportedOf(targetId: string): number {
    return this.reported.get(targetId) ?? 0;
  }

  /**
   * @param targetId - the target
   * @returns its average latency, in milliseconds; 0 without a sample
   */
  latencyMsOf(targetId: string): number {
    return this.latenciesMs.get(targetId) ?? 0;
  }
}
