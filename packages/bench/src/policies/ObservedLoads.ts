import type AttemptResult from '@guavayard/core/scheduling/AttemptResult';

const IN_FLIGHT = /in-flight=(\d+)/;
const LATENCY_WEIGHT = 0.2;

/** The latest report and the average latency of each target, for baselines. */
export default class ObservedLoads {
  private readonly reported = new Map<string, number>();

  private readonly latenciesMs = new Map<string, number>();

  /**
   * Takes the end of an attempt.
   *
   * @param targetId - the target
   * @param result - how it ended
   * @param latencyMs - how long it took
   */
  record(targetId: string, result: AttemptResult, latencyMs: number): void {
    const inFlight = IN_FLIGHT.exec(result.loadHeader ?? '')?.[1];
    if (inFlight !== undefined) this.reported.set(targetId, Number(inFlight));
    const before = this.latenciesMs.get(targetId) ?? latencyMs;
    this.latenciesMs.set(targetId, before + (latencyMs - before) * LATENCY_WEIGHT);
  }

  /**
   * @param targetId - the target
   * @returns requests that it reported last
   */
  reportedOf(targetId: string): number {
    return this.reported.get(targetId) ?? 0;
  }

  /**
   * @param targetId - the target
   * @returns its average latency, in milliseconds
   */
  latencyMsOf(targetId: string): number {
    return this.latenciesMs.get(targetId) ?? 0;
  }
}
