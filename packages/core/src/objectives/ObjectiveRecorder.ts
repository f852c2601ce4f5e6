import type Clock from '../types/Clock';
import type Configuration from '../types/Configuration';
import judgeRequest from './judgeRequest';
import type RequestRecord from './RequestRecord';
import type RequestRecorder from './RequestRecorder';
import ServiceCounter from './ServiceCounter';
import type ServiceCounts from './ServiceCounts';

/** Counts every request of an entry against the objectives of its service. */
export default class ObjectiveRecorder implements RequestRecorder {
  private readonly counters = new Map<string | undefined, ServiceCounter>();

  /**
   * @param clock - monotonic clock
   * @param configuration - the configuration in force, if there is one
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
    const judgement = judgeRequest(request, service?.objectives);
    this.counterOf(serviceName).add(nowMs, judgement, record.targetDataCentre, latencyMs);
  }

  /** @returns the counts of every service that the configuration still has */
  read(): ServiceCounts[] {
    this.forgetRemovedServices();
    const nowMs = this.clock();
    return [...this.counters.values()].map((counter) => counter.read(nowMs));
  }

  private counterOf(serviceName: string | undefined): ServiceCounter {
    const known = this.counters.get(serviceName);
    if (known !== undefined) return known;
    const counter = new ServiceCounter(serviceName);
    this.counters.set(serviceName, counter);
    return counter;
  }

  private forgetRemovedServices(): void {
    const services = this.configuration()?.services;
    if (services === undefined) return;
    [...this.counters.keys()]
      .filter((name) => name !== undefined && services[name] === undefined)
      .forEach((name) => this.counters.delete(name));
  }
}
