import { build } from 'hdr-histogram-js';

import type LatencySummary from './LatencySummary';

const MICROSECONDS = 1000;

/** What a run has measured. */
export default class Measurements {
  readonly latencies = build({ lowestDiscernibleValue: 1, highestTrackableValue: 100_000_000 });

  requests = 0;

  refused = 0;

  late = 0;

  failed = 0;

  hedges = 0;

  retries = 0;

  /** Slot time spent on work whose answer nobody took, in milliseconds. */
  wastedMs = 0;

  /** Bytes of load reports sent by all entries. */
  sharingBytes = 0;

  /** Requests sent to another region. */
  remote = 0;

  /**
   * Takes the end of a request. A request without an answer counts as long as its deadline.
   *
   * @param latencyMs - from its arrival, in milliseconds
   */
  record(latencyMs: number): void {
    this.latencies.recordValue(Math.max(1, Math.round(latencyMs * MICROSECONDS)));
  }

  /** @returns the latencies at the 50th, 99th and 99.9th of 100 */
  summarize(): LatencySummary {
    const at = (percentile: number): number => (
      this.latencies.getValueAtPercentile(percentile) / MICROSECONDS
    );
    return { p50Ms: at(50), p99Ms: at(99), p999Ms: at(99.9) };
  }
}
