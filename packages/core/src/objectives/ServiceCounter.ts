import burnWindows from './burnWindows';
import LatencyHistogram from './LatencyHistogram';
import type Judgement from './Judgement';
import type ServiceCounts from './ServiceCounts';
import WindowedCounter from './WindowedCounter';

/** Most pairs of cause and data centre that are counted apart; the rest is only in the totals. */
const MAX_CAUSES = 64;
const SERIES_STEP_MS = 300_000;

interface CauseCounter {
  readonly cause: string;
  readonly dataCentre: string | undefined;
  readonly counter: WindowedCounter;
}

function sumWindows(counter: WindowedCounter, nowMs: number): number[] {
  return burnWindows.map((windowMs) => counter.sum(nowMs, windowMs));
}

/** Counts the requests of one service, in memory that does not grow with their number. */
export default class ServiceCounter {
  private readonly total = new WindowedCounter();

  private readonly unavailable = new WindowedCounter();

  private readonly slow = new WindowedCounter();

  private readonly latencies = new LatencyHistogram();

  private readonly causes = new Map<string, CauseCounter>();

  /**
   * @param service - the service, undefined for requests that failed before one was known
   */
  constructor(private readonly service: string | undefined) {}

  /**
   * Counts one request.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @param judgement - what the request means for the objectives
   * @param dataCentre - data centre of its target, if one was assigned
   * @param latencyMs - its latency
   */
  add(
    nowMs: number,
    judgement: Judgement,
    dataCentre: string | undefined,
    latencyMs: number,
  ): void {
    if (judgement.kind === 'ignored') return;
    this.total.add(nowMs);
    if (judgement.kind !== 'unavailable') this.latencies.add(nowMs, latencyMs);
    if (judgement.kind === 'good') return;
    this[judgement.kind].add(nowMs);
    this.causeCounter(judgement.cause, dataCentre)?.add(nowMs);
  }

  /**
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the counts over each window of the report
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

  private causeCounter(cause: string, dataCentre: string | undefined): WindowedCounter | undefined {
    const key = `${cause} ${dataCentre ?? ''}`;
    const known = this.causes.get(key);
    if (known !== undefined) return known.counter;
    if (this.causes.size >= MAX_CAUSES) return undefined;
    const counter = new WindowedCounter();
    this.causes.set(key, { cause, dataCentre, counter });
    return counter;
  }
}
