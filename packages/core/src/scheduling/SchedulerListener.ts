import type KnownTarget from '../types/KnownTarget';

/** Receiver of what the scheduler learns about targets. */
interface SchedulerListener {
  /** A cold target that this entry owns can carry its full load. */
  onWarm: (target: KnownTarget) => void;
}

export default SchedulerListener;
