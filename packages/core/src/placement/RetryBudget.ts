import hedgeLimits from '../hedging/hedgeLimits';
import countAssuredRequests from './countAssuredRequests';
import type EntryShare from './EntryShare';
import type RetryGrant from './RetryGrant';

/** Limit on retries that all entries together keep. */
interface RetryBudgetOptions {
  /** Retries for each first attempt. */
  readonly ratio: number;
  /** Retries beyond the ratio, for all entries together. */
  readonly slack: number;
  readonly windowMs: number;
  /** Start of this process, by the monotonic clock. */
  readonly startedAtMs: number;
}

/** A retry that was granted. One that has not been sent counts in every window. */
interface GrantedRetry {
  readonly isHedge: boolean;
  sentAtMs: number | undefined;
}

/** Share of the ratio that is used, because the windows of the entries are not aligned. */
const RATIO_SHARE = 0.9;
/** Share of the slack that is used, because entries learn the entry count with a delay. */
const SLACK_SHARE = 0.7;
/**
 * Share of the budget that may be used at once; the rest accrues over the window. A new process has
 * the latter only, so that it and its predecessors stay within the budget.
 */
const BURST_SHARE = 0.5;

/**
 * Counts first attempts and retries to one service in a sliding window. Each entry applies the
 * ratio to its own requests and takes an equal part of the slack, so that all entries together
 * stay within the limit, also while their processes start again and again.
 */
export default class RetryBudget {
  private firstAttemptsAtMs: number[] = [];

  private retries: GrantedRetry[] = [];

  constructor(private readonly options: RetryBudgetOptions) {}

  /** Records a first attempt. */
  recordFirst(nowMs: number): void {
    this.dropExpired(nowMs);
    this.firstAttemptsAtMs.push(nowMs);
  }

  /**
   * Returns whether the budget allows a retry or a hedge. Hedges may use a part of the budget, and
   * each must leave one retry of it.
   *
   * @param nowMs - monotonic clock
   * @param share - share of this entry in the slack; undefined if it has none
   * @param isHedge - whether it is a hedge
   * @returns false if the budget is exhausted
   */
  hasLeft(nowMs: number, share: EntryShare | undefined, isHedge = false): boolean {
    const {
      ratio, slack, windowMs, startedAtMs,
    } = this.options;
    const since = nowMs - windowMs;
    this.dropExpired(nowMs);
    this.retries = this.retries.filter(({ sentAtMs }) => (sentAtMs ?? nowMs) > since);
    const ownRatio = RATIO_SHARE * ratio;
    const ownSlack = (SLACK_SHARE * slack) / Math.max(1, share?.entryCount ?? Infinity);
    const heldMs = Math.min(windowMs, nowMs - (share?.sinceMs ?? nowMs));
    const burstOf = (firsts: number): number => BURST_SHARE * ownRatio * firsts;
    const accrued = (firsts: number, ms: number): number => (
      (1 - BURST_SHARE) * (ownRatio * firsts + (ownSlack * Math.min(ms, heldMs)) / windowMs));
    const firstCount = countAssuredRequests(this.firstAttemptsAtMs, nowMs, windowMs);
    // Over the whole window. Its predecessor may have used the burst of a process that is younger.
    const isOld = nowMs - startedAtMs >= windowMs;
    const slackBurst = heldMs >= windowMs ? BURST_SHARE * ownSlack : 0;
    const total = (isOld ? burstOf(firstCount) : 0) + slackBurst + accrued(firstCount, windowMs);
    if (this.retries.length + (isHedge ? 2 : 1) > total) return false;
    const hedges = this.retries.filter((retry) => retry.isHedge).length;
    if (isHedge && hedges + 1 > hedgeLimits.budgetShare * total) return false;
    // In each part of the window, from a retry until now.
    const burst = burstOf(firstCount) + BURST_SHARE * ownSlack * (heldMs / windowMs);
    const sentAtMs = this.retries.map((retry) => retry.sentAtMs ?? nowMs).sort((x, y) => y - x);
    const { length } = this.firstAttemptsAtMs;
    let earlier = length;
    return sentAtMs.every((fromMs, index) => {
      while (earlier > 0 && (this.firstAttemptsAtMs[earlier - 1] ?? 0) >= fromMs) earlier -= 1;
      return index + 2 <= burst + accrued(length - earlier, nowMs - fromMs);
    });
  }

  /**
   * Takes one retry or hedge from the budget.
   *
   * @param nowMs - monotonic clock
   * @param share - share of this entry in the slack; undefined if it has none
   * @param isHedge - whether it is a hedge
   * @returns undefined if the budget is exhausted
   */
  take(
    nowMs: number,
    share: EntryShare | undefined,
    isHedge = false,
  ): RetryGrant | undefined {
    if (!this.hasLeft(nowMs, share, isHedge)) return undefined;
    const retry: GrantedRetry = { isHedge, sentAtMs: undefined };
    this.retries.push(retry);
    return {
      recordSent: (atMs) => {
        retry.sentAtMs = atMs;
      },
      release: () => {
        if (retry.sentAtMs === undefined) this.retries = this.retries.filter((r) => r !== retry);
      },
    };
  }

  /** Drops first attempts that count in no window any more. They are in order of time. */
  private dropExpired(nowMs: number): void {
    const since = nowMs - 2 * this.options.windowMs;
    const kept = this.firstAttemptsAtMs.findIndex((atMs) => atMs > since);
    this.firstAttemptsAtMs.splice(0, kept < 0 ? Infinity : kept);
  }
}
