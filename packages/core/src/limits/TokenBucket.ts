/** Budget that refills at a steady rate up to a limit. */
export default class TokenBucket {
  private tokens: number;

  private refilledAtMs: number | undefined;

  /**
   * @param ratePerSecond - tokens that come back in a second
   * @param limit - most tokens that are kept
   */
  constructor(private readonly ratePerSecond: number, private readonly limit: number) {
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
}
