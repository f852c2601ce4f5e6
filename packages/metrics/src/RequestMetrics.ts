import classifyRequest from '@guavayard/core/objectives/classifyRequest';
import type RequestRecord from '@guavayard/core/objectives/RequestRecord';
import type RequestRecorder from '@guavayard/core/objectives/RequestRecorder';
import type Clock from '@guavayard/core/types/Clock';
import type Configuration from '@guavayard/core/types/Configuration';

import type MetricName from './MetricName';
import type MetricSink from './MetricSink';

/** Maximum number of series between two sends; further series are dropped until the next send. */
const MAX_SERIES = 2000;

interface Series {
  readonly name: MetricName;
  readonly tags: Readonly<Record<string, string>>;
  count: number;
}

/**
 * Counts finished requests and sends the increase of each counter on demand, so that the metrics
 * traffic does not depend on the request rate.
 */
export default class RequestMetrics implements RequestRecorder {
  private readonly series = new Map<string, Series>();

  /**
   * @param clock - monotonic clock
   * @param region - region of the entry; requests restricted to other regions are not counted
   * @param configuration - returns the configuration in force, if there is one
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
    const classification = classifyRequest({
      record, status, isComplete, latencyMs,
    }, objectives);
    if (classification.kind === 'ignored') return;
    const service = record.serviceName ?? 'none';
    this.count('requests', { service, result: classification.kind });
    if (classification.kind === 'good') return;
    const dataCentre = record.targetDataCentre ?? 'none';
    this.count('burns', { service, cause: classification.cause, target_data_centre: dataCentre });
  }

  /**
   * Sends the counts since the last call and resets them.
   *
   * @param sink - destination of the counts
   */
  sendTo(sink: MetricSink): void {
    this.series.forEach(({ name, tags, count }) => sink.send(name, count, tags));
    this.series.clear();
  }

  private count(name: MetricName, tags: Readonly<Record<string, string>>): void {
    const key = `${name} ${Object.values(tags).join(' ')}`;
    const existing = this.series.get(key);
    if (existing !== undefined) existing.count += 1;
    else if (this.series.size < MAX_SERIES) this.series.set(key, { name, tags, count: 1 });
  }
}
