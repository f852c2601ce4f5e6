import LatencyHistogram from './LatencyHistogram';

const INITIAL_MEDIAN_MS = 10;
/** Before a service's latencies are known, a hedge is sent only after this time. */
const INITIAL_TAIL_MS = 1000;

/**
 * Tells when a second attempt is worth sending: once the first takes longer than the service's
 * 95th percentile. Whether it is sent is up to the scheduler, which keeps the hedge budget.
 */
export default class HedgePolicy {
  private readonly histograms = new Map<string, LatencyHistogram>();

  /**
   * Takes the latency of an answer.
   *
   * @param serviceName - the service
   * @param latencyMs - from the first dispatch of the request to its whole answer
   */
  record(serviceName: string, latencyMs: number): void {
    let histogram = this.histograms.get(serviceName);
    if (histogram === undefined) {
      histogram = new LatencyHistogram(INITIAL_MEDIAN_MS, INITIAL_TAIL_MS);
      this.histograms.set(serviceName, histogram);
    }
    histogram.record(latencyMs);
  }

  /**
   * @param serviceName - the service
   * @returns how long after its dispatch an idempotent attempt is hedged, in milliseconds
   */
  delayMs(serviceName: string): number {
    return this.histograms.get(serviceName)?.tailMs ?? INITIAL_TAIL_MS;
  }
}
