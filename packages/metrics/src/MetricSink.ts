import type MetricName from './MetricName';

/** Destination of metrics. */
interface MetricSink {
  /**
   * Sends the current value of a gauge, or the increase of a counter since it was last sent.
   *
   * @param name - the metric
   * @param value - the value or the increase
   * @param tags - values of the metric's tags, by tag name
   */
  send: (name: MetricName, value: number, tags: Readonly<Record<string, string>>) => void;
  /** Sends buffered metrics and closes the socket. */
  close: () => Promise<void>;
}

export default MetricSink;
