import calculateQuotaBounds from './calculateQuotaBounds';
import type QuotaCount from './QuotaCount';
import type QuotaRule from './QuotaRule';
import type QuotaShare from './QuotaShare';
import surgeFactor from './surgeFactor';
import type TenantLimit from './TenantLimit';
import WindowCount from './WindowCount';

const MS_PER_SECOND = 1000;
/** Time constant of the estimate of the demand, in milliseconds. */
const DEMAND_TIME_MS = 300;
/**
 * Time over which the level is spent or a debt is repaid, in milliseconds. It is about twice the
 * time that a change of the share needs to take effect, so that the level does not oscillate.
 */
const HORIZON_MS = 500;
/**
 * Part of the tolerated excess up to which a window may be filled. It is seldom reached, as the
 * level limits before, except after a start, when the level does not know what was admitted before.
 */
const WINDOW_PART = 0.6;
/** Longest delay that refused callers are given, in milliseconds. */
const MAX_RETRY_AFTER_MS = 5000;
/** Shortest one, in milliseconds: a new share needs as long to reach the entries. */
const MIN_RETRY_AFTER_MS = 250;

/** A control VM's account of the requests of one tenant at all entries. */
export default class TenantLevel {
  private level: number;

  private demandPerSecond = 0;

  private updatedAtMs: number;

  private readonly window: WindowCount;

  private bounds: ReturnType<typeof calculateQuotaBounds>;

  /**
   * @param limit - rate and burst of the tenant
   * @param rule - the rule that the level has to keep
   * @param nowMs - monotonic clock, in milliseconds
   * @param isCounted - whether the requests of the last window are known; else some may be missing
   */
  constructor(
    private limit: TenantLimit,
    private readonly rule: QuotaRule,
    nowMs: number,
    isCounted: boolean,
  ) {
    this.bounds = calculateQuotaBounds(limit, rule);
    this.level = isCounted ? this.bounds.maxLevel : this.bounds.startLevel;
    // Until it is measured, the demand may be any.
    if (!isCounted) this.demandPerSecond = surgeFactor * limit.ratePerSecond;
    this.updatedAtMs = nowMs;
    this.window = new WindowCount(rule.windowMs);
  }

  /**
   * @param nowMs - monotonic clock, in milliseconds
   * @returns requests that may be admitted beyond the rate; negative after too many were
   */
  tokensAt(nowMs: number): number {
    this.advance(nowMs);
    return this.level;
  }

  /**
   * Records requests of any entries.
   *
   * @param count - requests asked for and admitted
   * @param nowMs - monotonic clock, in milliseconds
   */
  record([asked, admitted]: QuotaCount, nowMs: number): void {
    this.advance(nowMs);
    this.setLevel(this.level - admitted);
    this.window.add(admitted, nowMs, nowMs);
    this.demandPerSecond += (asked * MS_PER_SECOND) / DEMAND_TIME_MS;
  }

  /**
   * Records requests that were admitted before this control VM started.
   *
   * @param admitted - the requests
   * @param atMs - when that was
   * @param nowMs - monotonic clock, in milliseconds
   */
  recordEarlier(admitted: number, atMs: number, nowMs: number): void {
    this.window.add(admitted, atMs, nowMs);
  }

  /**
   * Sets the level to that of a control VM that knows the requests of a whole window.
   *
   * @param tokens - its level
   * @param nowMs - monotonic clock, in milliseconds
   */
  adopt(tokens: number, nowMs: number): void {
    this.advance(nowMs);
    this.setLevel(tokens);
    this.demandPerSecond = Math.min(this.demandPerSecond, this.limit.ratePerSecond);
  }

  /**
   * Changes rate and burst. Lower ones scale the level; higher ones add nothing at once.
   *
   * @param limit - the new rate and burst
   * @param nowMs - monotonic clock, in milliseconds
   */
  setLimit(limit: TenantLimit, nowMs: number): void {
    const { ratePerSecond, burst } = this.limit;
    if (limit.ratePerSecond === ratePerSecond && limit.burst === burst) return;
    this.advance(nowMs);
    const before = this.bounds.maxLevel;
    this.limit = limit;
    this.bounds = calculateQuotaBounds(limit, this.rule);
    this.level *= Math.min(1, this.bounds.maxLevel / before);
  }

  /**
   * Calculates the share of requests to admit, such that the level reaches 0 after a time.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the share, and the delay for callers that are refused
   */
  calculateShare(nowMs: number): QuotaShare {
    this.advance(nowMs);
    const {
      limit: { ratePerSecond }, bounds: { quota, excess }, level, demandPerSecond,
    } = this;
    const room = quota + WINDOW_PART * excess - this.window.sumAt(nowMs);
    const allowedPerSecond = Math.max(0, Math.min(
      ratePerSecond + (level * MS_PER_SECOND) / HORIZON_MS,
      (room * MS_PER_SECOND) / HORIZON_MS,
    ));
    if (demandPerSecond <= allowedPerSecond) return [1, 0];
    // Callers that are refused return as demand, so they are spread over the time that the rate
    // needs to serve those of the last second.
    const missing = Math.max(0, 1 - level) + Math.max(0, demandPerSecond - ratePerSecond);
    const retryAfterMs = (missing * MS_PER_SECOND) / ratePerSecond;
    return [
      allowedPerSecond / demandPerSecond,
      Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, retryAfterMs))),
    ];
  }

  private advance(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
    this.updatedAtMs += elapsedMs;
    this.setLevel(this.level + (elapsedMs * this.limit.ratePerSecond) / MS_PER_SECOND);
    this.demandPerSecond *= Math.exp(-elapsedMs / DEMAND_TIME_MS);
  }

  private setLevel(tokens: number): void {
    // Requests admitted longer ago than a window do not count, so the debt is bounded.
    this.level = Math.max(-this.bounds.quota, Math.min(this.bounds.maxLevel, tokens));
  }
}
