import type ColdRamp from '../coldstart/ColdRamp';
import type OutstandingAttempt from './OutstandingAttempt';
import type PeerLoad from './PeerLoad';
import type ReportedLoad from './ReportedLoad';

/** State that one entry keeps about the load of one incarnation of a target. */
interface TargetState {
  readonly id: string;
  readonly startId: string;
  readonly slots: number;
  /** Hash of the id, which identifies the target in load reports. */
  readonly hash: number;
  /** Attempts of this entry in flight, oldest first. */
  readonly outstanding: Set<OutstandingAttempt>;
  /** Loads reported by the other entries of the region, by entry name. */
  readonly peerLoads: Map<string, PeerLoad>;
  /** Sum of the in-flight counts in `peerLoads`. */
  peersInFlight: number;
  /** In-flight count that this entry last reported to the other entries. */
  lastSharedInFlight: number;
  report: ReportedLoad | undefined;
  /** Recent latencies as a multiple of the service's median, decaying towards 1. */
  slowness: number;
  slownessAtMs: number;
  /** Failures since the last successful response. */
  consecutiveFailures: number;
  /** Rank from 0 to 1 that differs between entries, so that they prefer different targets. */
  readonly affinity: number;
  /** Ramp-up of a cold target that this entry owns. */
  coldRamp: ColdRamp | undefined;
  /** Whether this entry has observed the end of the cold start. */
  isWarm: boolean;
}

export default TargetState;
