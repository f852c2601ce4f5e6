import type ColdRamp from '../coldstart/ColdRamp';
import type OutstandingAttempt from './OutstandingAttempt';
import type PeerLoad from './PeerLoad';
import type ReportedLoad from './ReportedLoad';

/** What one entry knows about the load of one start of a target. */
interface TargetState {
  readonly id: string;
  readonly startId: string;
  readonly slots: number;
  /** Hash of the id in load reports. */
  readonly hash: number;
  /** Attempts of this entry in flight, the oldest first. */
  readonly outstanding: Set<OutstandingAttempt>;
  /** Told by the other entries of the region, by their names. */
  readonly peers: Map<string, PeerLoad>;
  /** Sum of `peers`. */
  peersInFlight: number;
  /** Own count that the other entries have been told last. */
  toldInFlight: number;
  report: ReportedLoad | undefined;
  /** Latest latencies as a multiple of the service's median, fading. */
  slowness: number;
  slownessAtMs: number;
  /** Failures since the last good answer. */
  consecutiveFailures: number;
  /** Number between 0 and 1 by which entries rank equal targets differently. */
  readonly affinity: number;
  /** Ramp of a cold target that this entry owns. */
  coldRamp: ColdRamp | undefined;
  /** Whether this entry has seen the end of the cold start. */
  isWarm: boolean;
}

export default TargetState;
