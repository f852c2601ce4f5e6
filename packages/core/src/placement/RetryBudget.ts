/** Limit on retries that all entries together keep. */
interface RetryBudgetOptions {
  /** Retries for each first attempt. */
  readonly ratio: number;
  /** Retries beyond the ratio, for all entries together. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Share of the ratio that is used, because the windows of the entries are not aligned. */
const RATIO_SHARE = 0.9;
/** Share of the slack that is used, because entries learn the entry count with a delay. */
const SLACK_SHARE = 0.7;

/**
 * Counts first attempts and retries to one service in a sliding window. Each entry applies the
 * ratio to its own requests and takes an equal part of the slack, so that all entries together
 * stay within the limit.
 */
export default class RetryBudget {
  private firstAttemptsAtMs: number[] = [];

  private retriesAtMs: number[] = [];

  constructor(private readonly options: RetryBudgetOptions) {}

  /** Records a first attempt. */
  recordFirst(nowMs: number): void {
    this.firstAttemptsAtMs.push(nowMs);
  }

  /**
   * Returns whether the budget allows a retry.
   *
   * @param nowMs - monotonic clock
   * @param entryCount - entries that share the slack
   * @returns false if the budget is exhausted
   */
  hasLeft(nowMs: number, entryCount: number): boolean {
    const { ratio, slack, windowMs } = this.options;
    const since = nowMs - windowMs;
    this.firstAttemptsAtMs = this.firstAttemptsAtMs.filter((atMs) => atMs > since);
    this.retriesAtMs = this.retriesAtMs.filter((atMs) => atMs > since);
    const ownSlack = slack / Math.max(1, entryCount);
    const bound = RATIO_SHARE * ratio * this.firstAttemptsAtMs.length + SLACK_SHARE * ownSlack;
    return this.retriesAtMs.length + 1 <= bound;
  }

  /**
   * Takes one retry from the budget.
   *
   * @param nowMs - monotonic clock
   * @param entryCount - entries that share the slack
   * @returns false if the budget is exhausted
   */
  take(nowMs: number, entryCount: number): boolean {
    if (!this.hasLeft(nowMs, entryCount)) return false;
    this.retriesAtMs.push(nowMs);
    return true;
  }
}
