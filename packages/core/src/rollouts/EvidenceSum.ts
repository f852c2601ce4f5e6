import judgeLimits from './judgeLimits';

const MAX_STEP = judgeLimits.alarmLevel * judgeLimits.maxStepShare;

/**
 * Evidence that a version has become bad, at whatever time: a cumulative sum that good responses
 * lower to 0 at least, so that earlier good ones do not hide later bad ones.
 */
export default class EvidenceSum {
  private sum = 0;

  /** The evidence so far. */
  get level(): number {
    return this.sum;
  }

  /**
   * Adds the responses of one interval.
   *
   * @param evidence - logarithm of how much likelier they are if the version is bad
   */
  add(evidence: number): void {
    this.sum = Math.max(0, this.sum + Math.min(MAX_STEP, evidence));
  }
}
