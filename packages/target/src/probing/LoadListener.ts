import type KnownTarget from '@guavayard/core/types/KnownTarget';

/** Receives the loads that targets report. */
interface LoadListener {
  /**
   * @param target - a target
   * @returns when it last reported its load, in milliseconds of the monotonic clock
   */
  lastReportedAtMs: (target: KnownTarget) => number;
  /**
   * Records the load that a probe returned.
   *
   * @param target - the probed target
   * @param loadHeader - value of the `guavayard-load` response header
   */
  recordProbedLoad: (target: KnownTarget, loadHeader: string) => void;
}

export default LoadListener;
