import { StatsD } from 'hot-shots';

import splitHostPort from '@guavayard/core/utils/splitHostPort';

import type MetricName from './MetricName';
import type MetricSink from './MetricSink';
import metricTable from './metricTable';

/** Maximum size of a datagram in bytes, small enough to avoid IP fragmentation. */
const MAX_DATAGRAM_BYTES = 1400;

/** Sends metrics to a statsd server over UDP. It owns its socket. */
export default class StatsdSink implements MetricSink {
  private readonly client: StatsD;

  /**
   * @param address - IP number and port of the statsd server
   * @param globalTags - tags that identify the sender, added to every metric
   * @param onError - called when sending fails; the metrics are lost
   */
  constructor(
    address: string,
    globalTags: Readonly<Record<string, string>>,
    onError: (err: Error) => void,
  ) {
    this.client = new StatsD({
      ...splitHostPort(address),
      prefix: 'guavayard.',
      globalTags,
      maxBufferSize: MAX_DATAGRAM_BYTES,
      errorHandler: onError,
    });
  }

  send(name: MetricName, value: number, tags: Readonly<Record<string, string>>): void {
    if (metricTable[name].type === 'counter') this.client.increment(name, value, { ...tags });
    else this.client.gauge(name, value, { ...tags });
  }

  async close(): Promise<void> {
    return new Promise((resolve) => {
      this.client.close(() => resolve());
    });
  }
}
