import type KnownTarget from '@guavayard/core/types/KnownTarget';

/** Keeps what targets tell about their load. */
interface LoadListener {
  /**
   * @param target - a target
   * @returns when it last told its load, in milliseconds of the monotonic clock
   */
  heardAtMs: (target: KnownTarget) => number;
  /**
   * Takes what a probe found.
   *
   * @param target - the target
   * @param loadHeader - value of its `guavayard-load` header
   */
  takeProbe: (target: KnownTarget, loadHeader: string) => void;
}

export default LoadListener;
