import burnWindows from './burnWindows';
import LatencyHistogram from './LatencyHistogram';
import type RequestClassification from './RequestClassification';
import type ServiceCounts from './ServiceCounts';
import WindowedCounter from './WindowedCounter';

/** Maximum number of cause and data centre pairs; further ones count only in the totals. */
const MAX_CAUSE_COUNTERS = 64;
const SERIES_STEP_MS = 300_000;

interface CauseCounter {
  readonly cause: string;
  readonly dataCentre: string | undefined;
  readonly counter: WindowedCounter;
}

function sumWindows(counter: WindowedCounter, nowMs: number): number[] {
  return burnWindows.map((windowMs) => counter.sum(nowMs, windowMs));
}

/** Counts the requests of one service in constant memory. */
export default class ServiceCounter {
  private readonly total = new WindowedCounter();

  private readonly unavailable = new WindowedCounter();

  private readonly slow = new WindowedCounter();

  private readonly latencies = new LatencyHistogram();

  private readonly causes = new Map<string, CauseCounter>();

  /**
   * @param service - name of the service, undefined for requests that failed before it was known
   */
  constructor(private readonly service: string | undefined) {}

  /**
   * Counts one request.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @param classification - classification of the request with regard to the objectives
   * @param dataCentre - data centre of the target, if one was assigned
   * @param latencyMs - latency of the request, in milliseconds
   */
  add(
    nowMs: number,
    classification: RequestClassification,
    dataCentre: string | undefined,
    latencyMs: number,
  ): void {
    if (classification.kind === 'ignored') return;
    this.total.add(nowMs);
    if (classification.kind !== 'unavailable') this.latencies.add(nowMs, latencyMs);
    if (classification.kind === 'good') return;
    this[classification.kind].add(nowMs);
    this.getCauseCounter(classification.cause, dataCentre)?.add(nowMs);
  }

  /**
   * Reads the counts of all windows.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the counts in each window of the report
   */
  read(nowMs: number): ServiceCounts {
    return {
      service: this.service,
      total: sumWindows(this.total, nowMs),
      unavailable: sumWindows(this.unavailable, nowMs),
      slow: sumWindows(this.slow, nowMs),
      causes: [...this.causes.values()].map(({ cause, dataCentre, counter }) => ({
        cause, dataCentre, counts: sumWindows(counter, nowMs),
      })),
      series: {
        total: this.total.series(nowMs, SERIES_STEP_MS),
        unavailable: this.unavailable.series(nowMs, SERIES_STEP_MS),
        slow: this.slow.series(nowMs, SERIES_STEP_MS),
      },
      latencies: this.latencies.encode(nowMs),
    };
  }

  private getCauseCounter(
    cause: string,
    dataCentre: string | undefined,
  ): WindowedCounter | undefined {
    const key = `${cause} ${dataCentre ?? ''}`;
    const known = this.causes.get(key);
    if (known !== undefined) return known.counter;
    if (this.causes.size >= MAX_CAUSE_COUNTERS) return undefined;
    const counter = new WindowedCounter();
    this.causes.set(key, { cause, dataCentre, counter });
    return counter;
  }
}
