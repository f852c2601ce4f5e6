import planHedge from '@guavayard/core/hedging/planHedge';
import DurationAverage from '@guavayard/core/placement/DurationAverage';

/** Learns how long the requests of each service usually take, and when one is hedged. */
export default class UsualDurations {
  private readonly averages = new Map<string, DurationAverage>();

  /**
   * Records the latency of a response.
   *
   * @param serviceName - name of the service
   * @param latencyMs - time from the first dispatch of the request to its complete response
   */
  record(serviceName: string, latencyMs: number): void {
    const average = this.averages.get(serviceName) ?? new DurationAverage();
    this.averages.set(serviceName, average);
    average.add(latencyMs);
  }

  /**
   * @param serviceName - name of the service
   * @param targetLatencyMs - time within which a response has its full value, in milliseconds
   * @returns the time after its dispatch when an idempotent attempt is hedged, in milliseconds
   */
  hedgeDelayMs(serviceName: string, targetLatencyMs: number): number {
    return planHedge({
      sentAfterMs: 0,
      usualMs: this.averages.get(serviceName)?.reliableValue,
      targetLatencyMs,
      slownessAtStart: undefined,
    }).firstCheckMs;
  }
}
