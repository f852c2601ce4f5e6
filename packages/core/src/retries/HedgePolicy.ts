import DecayingLatencyHistogram from './DecayingLatencyHistogram';

const INITIAL_MEDIAN_MS = 10;
/** Hedge delay while a service has too few latency samples. */
const INITIAL_TAIL_MS = 1000;

/**
 * Decides when a request is hedged: once its attempt takes longer than the 95th percentile of the
 * service. Whether the hedge is sent is up to the scheduler, which applies the hedge budget.
 */
export default class HedgePolicy {
  private readonly histograms = new Map<string, DecayingLatencyHistogram>();

  /**
   * Records the latency of a response.
   *
   * @param serviceName - name of the service
   * @param latencyMs - time from the first dispatch of the request to its complete response
   */
  record(serviceName: string, latencyMs: number): void {
    let histogram = this.histograms.get(serviceName);
    if (histogram === undefined) {
      histogram = new DecayingLatencyHistogram(INITIAL_MEDIAN_MS, INITIAL_TAIL_MS);
      this.histograms.set(serviceName, histogram);
    }
    histogram.record(latencyMs);
  }

  /**
   * @param serviceName - name of the service
   * @returns the time after its dispatch when an idempotent attempt is hedged, in milliseconds
   */
  delayMs(serviceName: string): number {
    return this.histograms.get(serviceName)?.tailMs ?? INITIAL_TAIL_MS;
  }
}
