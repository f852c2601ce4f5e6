/** Token bucket that refills at a constant rate up to a limit and may be overdrawn. */
export default class TokenBucket {
  private tokens: number;

  private refilledAtMs: number | undefined;

  /**
   * @param ratePerSecond - tokens added per second
   * @param limit - capacity of the bucket
   */
  constructor(private ratePerSecond: number, private limit: number) {
    this.tokens = limit;
  }

  /** Tokens added per second. */
  get rate(): number {
    return this.ratePerSecond;
  }

  /**
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the available tokens; negative after an overdraft
   */
  available(nowMs: number): number {
    const elapsedMs = nowMs - (this.refilledAtMs ?? nowMs);
    this.refilledAtMs = nowMs;
    this.tokens = Math.min(this.limit, this.tokens + (elapsedMs / 1000) * this.ratePerSecond);
    return this.tokens;
  }

  /**
   * Takes tokens, even if that overdraws the bucket.
   *
   * @param count - tokens to take; negative to return tokens
   */
  take(count: number): void {
    this.tokens -= count;
  }

  /**
   * Takes tokens if enough are available.
   *
   * @param count - tokens to take
   * @param nowMs - monotonic clock, in milliseconds
   * @returns false if there were not enough
   */
  tryTake(count: number, nowMs: number): boolean {
    if (this.available(nowMs) < count) return false;
    this.tokens -= count;
    return true;
  }

  /**
   * Returns the time until tokens are available.
   *
   * @param count - tokens
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the time in milliseconds, 0 if they are available now
   */
  waitMs(count: number, nowMs: number): number {
    return Math.max(0, ((count - this.available(nowMs)) / this.ratePerSecond) * 1000);
  }

  /**
   * Changes the rate and the limit. A higher limit adds no tokens immediately, except to a bucket
   * whose limit was 0.
   *
   * @param ratePerSecond - tokens added per second
   * @param limit - capacity of the bucket
   * @param nowMs - monotonic clock, in milliseconds
   */
  setRate(ratePerSecond: number, limit: number, nowMs: number): void {
    this.available(nowMs);
    // A bucket whose limit was 0 starts full.
    if (this.limit === 0) this.tokens = limit;
    this.ratePerSecond = ratePerSecond;
    this.limit = limit;
  }
}
