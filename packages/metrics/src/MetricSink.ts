import type MetricName from './MetricName';

/** Where metrics go. */
interface MetricSink {
  /**
   * Sends the present value of a metric, or the growth of a counter since the last time.
   *
   * @param name - the metric
   * @param value - the value
   * @param tags - a value for each tag of the metric
   */
  send: (name: MetricName, value: number, tags: Readonly<Record<string, string>>) => void;
  /** Sends what is buffered and closes the socket. */
  close: () => Promise<void>;
}

export default MetricSink;
