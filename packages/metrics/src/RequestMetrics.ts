import judgeRequest from '@guavayard/core/objectives/judgeRequest';
import type RequestRecord from '@guavayard/core/objectives/RequestRecord';
import type RequestRecorder from '@guavayard/core/objectives/RequestRecorder';
import type Clock from '@guavayard/core/types/Clock';
import type Configuration from '@guavayard/core/types/Configuration';

import type MetricName from './MetricName';
import type MetricSink from './MetricSink';

/** Most series that are counted between two sends; more are dropped until the next one. */
const MAX_SERIES = 2000;

interface Series {
  readonly name: MetricName;
  readonly tags: Readonly<Record<string, string>>;
  count: number;
}

/**
 * Counts finished requests and sends the growth of each counter when asked, so that the traffic
 * does not depend on the rate of requests.
 */
export default class RequestMetrics implements RequestRecorder {
  private readonly series = new Map<string, Series>();

  /**
   * @param clock - monotonic clock
   * @param region - region of the entry: requests with home regions elsewhere leave no trace
   * @param configuration - the configuration in force, if there is one
   */
  constructor(
    private readonly clock: Clock,
    private readonly region: string,
    private readonly configuration: () => Configuration | undefined,
  ) {}

  record(record: RequestRecord, status: number, isComplete: boolean): void {
    if (record.homeRegions !== undefined && !record.homeRegions.includes(this.region)) return;
    const objectives = this.configuration()?.services[record.serviceName ?? '']?.objectives;
    const latencyMs = this.clock() - record.startedAtMs;
    const judgement = judgeRequest({
      record, status, isComplete, latencyMs,
    }, objectives);
    if (judgement.kind === 'ignored') return;
    const service = record.serviceName ?? 'none';
    this.count('requests', { service, result: judgement.kind });
    if (judgement.kind === 'good') return;
    const dataCentre = record.targetDataCentre ?? 'none';
    this.count('burns', { service, cause: judgement.cause, target_data_centre: dataCentre });
  }

  /**
   * Sends what was counted since the last time.
   *
   * @param sink - where to
   */
  sendTo(sink: MetricSink): void {
    this.series.forEach(({ name, tags, count }) => sink.send(name, count, tags));
    this.series.clear();
  }

  private count(name: MetricName, tags: Readonly<Record<string, string>>): void {
    const key = `${name} ${Object.values(tags).join(' ')}`;
    const known = this.series.get(key);
    if (known !== undefined) known.count += 1;
    else if (this.series.size < MAX_SERIES) this.series.set(key, { name, tags, count: 1 });
  }
}
