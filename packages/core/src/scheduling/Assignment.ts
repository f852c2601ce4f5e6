import type KnownTarget from '../types/KnownTarget';
import type AttemptResult from './AttemptResult';

/** A target slot that is reserved for one attempt until the attempt is finished. */
interface Assignment {
  readonly target: KnownTarget;
  /**
   * Name of the entry that sends the attempt instead of this one, because it owns a cold target
   * that only its owner may use; undefined if this entry sends it.
   */
  readonly relayTo: string | undefined;
  /**
   * Releases the target. Called exactly once.
   *
   * @param result - how the attempt ended
   */
  finish: (result: AttemptResult) => void;
}

export default Assignment;
