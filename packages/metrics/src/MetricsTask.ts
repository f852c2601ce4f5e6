import type MetricSink from './MetricSink';

const SEND_INTERVAL_MS = 10_000;

/** Sends the metrics of a VM at a fixed interval, and once more when it stops. */
export default class MetricsTask {
  private readonly sources: ((sink: MetricSink) => void)[] = [];

  private timer: NodeJS.Timeout | undefined;

  /**
   * @param sink - destination of the metrics
   */
  constructor(private readonly sink: MetricSink) {}

  /**
   * Registers a source of metrics.
   *
   * @param source - called at each interval to send its metrics to the given sink
   */
  addSource(source: (sink: MetricSink) => void): void {
    this.sources.push(source);
  }

  /** Starts the interval timer. */
  start(): void {
    this.timer = setInterval(() => this.send(), SEND_INTERVAL_MS);
  }

  /** Sends the metrics a last time and closes the sink. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    this.send();
    await this.sink.close();
  }

  private send(): void {
    this.sources.forEach((source) => source(this.sink));
  }
}
