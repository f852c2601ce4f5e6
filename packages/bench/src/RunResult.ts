import type LatencySummary from './LatencySummary';

/** Results of one policy at one load. */
interface RunResult extends LatencySummary {
  readonly user: string;
  readonly policy: string;
  readonly load: number;
  readonly requests: number;
  /** Requests that were refused without being run. */
  readonly refused: number;
  /** Requests without a response at their deadline. */
  readonly late: number;
  readonly failed: number;
  /** Hedges as a share of requests. */
  readonly hedgeShare: number;
  /** Slot time spent on attempts whose response was not used, as a share of busy time. */
  readonly wastedShare: number;
  /** Number of probes sent to targets by all entries. */
  readonly probes: number;
  /** Slot time of targets spent on probes, as a share of all. */
  readonly probeShare: number;
  /** Mean bytes of load reports that an entry sends per second. */
  readonly sharingBytesPerSecond: number;
  /** Attempts dispatched to another region, as a share of requests. */
  readonly remoteShare: number;
}

export default RunResult;
