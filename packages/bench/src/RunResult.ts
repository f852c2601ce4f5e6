import type LatencySummary from './LatencySummary';

/** Figures of one policy at one load. */
interface RunResult extends LatencySummary {
  readonly user: string;
  readonly policy: string;
  readonly load: number;
  readonly requests: number;
  /** Requests that were told "not run". */
  readonly refused: number;
  /** Requests without an answer at their deadline. */
  readonly late: number;
  readonly failed: number;
  /** Hedges as a share of requests. */
  readonly hedgeShare: number;
  /** Slot time spent on work whose answer nobody took, as a share of all. */
  readonly wastedShare: number;
  /** Probes of targets by all entries. */
  readonly probes: number;
  /** Slot time of targets that probes took, as a share of all. */
  readonly probeShare: number;
  /** Bytes of load reports that one entry sends in a second. */
  readonly sharingBytesPerSecond: number;
  /** Requests sent to another region, as a share. */
  readonly remoteShare: number;
}

export default RunResult;
