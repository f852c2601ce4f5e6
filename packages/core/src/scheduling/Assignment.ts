import type TargetAnnouncement from '../types/TargetAnnouncement';
import type AttemptResult from './AttemptResult';

/** A target that is held for one attempt until the attempt is finished. */
interface Assignment {
  readonly target: TargetAnnouncement;
  /**
   * Gives the target back. Called exactly once.
   *
   * @param result - how the attempt ended
   */
  finish: (result: AttemptResult) => void;
}

export default Assignment;
