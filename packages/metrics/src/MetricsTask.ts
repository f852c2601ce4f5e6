import type MetricSink from './MetricSink';

const SEND_INTERVAL_MS = 10_000;

/** Sends the metrics of a VM at a fixed interval, and once more when it stops. */
export default class MetricsTask {
  private readonly sources: ((sink: MetricSink) => void)[] = [];

  private timer: NodeJS.Timeout | undefined;

  /**
   * @param sink - where the metrics go
   */
  constructor(private readonly sink: MetricSink) {}

  /**
   * Registers something that has metrics to send.
   *
   * @param source - sends its metrics to the sink that it is given
   */
  addSource(source: (sink: MetricSink) => void): void {
    this.sources.push(source);
  }

  /** Starts to send. */
  start(): void {
    this.timer = setInterval(() => this.send(), SEND_INTERVAL_MS);
  }

  /** Sends a last time and closes the sink. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    this.send();
    await this.sink.close();
  }

  private send(): void {
    this.sources.forEach((source) => source(this.sink));
  }
}
