import { build } from 'hdr-histogram-js';

import type LatencySummary from './LatencySummary';

const MICROSECONDS_PER_MS = 1000;

/** Counters and the latency histogram of one run. */
export default class Measurements {
  readonly latencies = build({ lowestDiscernibleValue: 1, highestTrackableValue: 100_000_000 });

  requests = 0;

  refused = 0;

  late = 0;

  failed = 0;

  hedges = 0;

  retries = 0;

  /** Slot time spent on attempts whose response was not used, in milliseconds. */
  wastedMs = 0;

  /** Bytes of load reports sent by all entries. */
  sharingBytes = 0;

  /** Attempts dispatched to another region. */
  remote = 0;

  /**
   * Records the latency of a finished request. A request without a response is recorded with the
   * time from its arrival to its deadline.
   *
   * @param latencyMs - latency since the arrival, in milliseconds
   */
  record(latencyMs: number): void {
    this.latencies.recordValue(Math.max(1, Math.round(latencyMs * MICROSECONDS_PER_MS)));
  }

  /** @returns the latencies at the 50th, 99th and 99.9th percentile */
  summarize(): LatencySummary {
    const at = (percentile: number): number => (
      this.latencies.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS
    );
    return { p50Ms: at(50), p99Ms: at(99), p999Ms: at(99.9) };
  }
}
