/** Budget that refills at a steady rate up to a limit. */
export default class TokenBucket {
  private tokens: number;

  private refilledAtMs: number | undefined;

  /**
   * @param ratePerSecond - tokens that come back in a second
   * @param limit - most tokens that are kept
   */
  constructor(private ratePerSecond: number, private limit: number) {
    this.tokens = limit;
  }

  /**
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the tokens that are there now; negative after an overdraft
   */
  available(nowMs: number): number {
    const elapsedMs = nowMs - (this.refilledAtMs ?? nowMs);
    this.refilledAtMs = nowMs;
    this.tokens = Math.min(this.limit, this.tokens + (elapsedMs / 1000) * this.ratePerSecond);
    return this.tokens;
  }

  /**
   * Takes tokens, also if that overdraws the budget.
   *
   * @param count - tokens to take; negative to give back
   */
  take(count: number): void {
    this.tokens -= count;
  }

  /**
   * Takes tokens if they are there.
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
   * Changes the rate. A higher limit does not bring tokens at once.
   *
   * @param ratePerSecond - tokens that come back in a second
   * @param limit - most tokens that are kept
   * @param nowMs - monotonic clock, in milliseconds
   */
  setRate(ratePerSecond: number, limit: number, nowMs: number): void {
    this.available(nowMs);
    // A bucket that held nothing yet starts full.
    if (this.limit === 0) this.tokens = limit;
    this.ratePerSecond = ratePerSecond;
    this.limit = limit;
  }
}
