import type KnownTarget from '../types/KnownTarget';
import type AttemptResult from './AttemptResult';

/** A target that is held for one attempt until the attempt is finished. */
interface Assignment {
  readonly target: KnownTarget;
  /**
   * Name of the entry that must send the attempt in place of this one, because it owns a target
   * that only its owner may use; undefined where this entry sends it.
   */
  readonly relayTo: string | undefined;
  /**
   * Gives the target back. Called exactly once.
   *
   * @param result - how the attempt ended
   */
  finish: (result: AttemptResult) => void;
}

export default Assignment;
