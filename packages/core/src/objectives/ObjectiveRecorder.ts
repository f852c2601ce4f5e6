import type Clock from '../types/Clock';
import type Configuration from '../types/Configuration';
import classifyRequest from './classifyRequest';
import type RequestRecord from './RequestRecord';
import type RequestRecorder from './RequestRecorder';
import ServiceCounter from './ServiceCounter';
import type ServiceCounts from './ServiceCounts';

/** Counts the requests of an entry per service, classified by the service's objectives. */
export default class ObjectiveRecorder implements RequestRecorder {
  private readonly counters = new Map<string | undefined, ServiceCounter>();

  /**
   * @param clock - monotonic clock
   * @param configuration - returns the configuration in force, if there is one
   */
  constructor(
    private readonly clock: Clock,
    private readonly configuration: () => Configuration | undefined,
  ) {}

  record(record: RequestRecord, status: number, isComplete: boolean): void {
    const nowMs = this.clock();
    const latencyMs = nowMs - record.startedAtMs;
    const { serviceName } = record;
    const service = this.configuration()?.services[serviceName ?? ''];
    const request = {
      record, status, isComplete, latencyMs,
    };
    const classification = classifyRequest(request, service?.objectives);
    this.getCounter(serviceName).add(nowMs, classification, record.targetDataCentre, latencyMs);
  }

  /**
   * Reads the counts, after dropping those of services removed from the configuration.
   *
   * @returns the counts of each service
   */
  read(): ServiceCounts[] {
    this.dropRemovedServices();
    const nowMs = this.clock();
    return [...this.counters.values()].map((counter) => counter.read(nowMs));
  }

  private getCounter(serviceName: string | undefined): ServiceCounter {
    const known = this.counters.get(serviceName);
    if (known !== undefined) return known;
    const counter = new ServiceCounter(serviceName);
    this.counters.set(serviceName, counter);
    return counter;
  }

  private dropRemovedServices(): void {
    const services = this.configuration()?.services;
    if (services === undefined) return;
    [...this.counters.keys()]
      .filter((name) => name !== undefined && services[name] === undefined)
      .forEach((name) => this.counters.delete(name));
  }
}
