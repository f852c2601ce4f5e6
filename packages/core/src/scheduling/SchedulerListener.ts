import type KnownTarget from '../types/KnownTarget';

/** Receives state changes of targets that the scheduler detects. */
interface SchedulerListener {
  /** Called when a cold target that this entry owns can take its full load. */
  onWarm: (target: KnownTarget) => void;
}

export default SchedulerListener;
