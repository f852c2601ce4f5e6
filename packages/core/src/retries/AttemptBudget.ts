/** Initial tokens, so that a service with little traffic can retry at all. */
const INITIAL_TOKENS = 1;
/** Maximum number of saved tokens. */
const MAX_TOKENS = 10;

/** Limits retries or hedges to a share of the first attempts. */
export default class AttemptBudget {
  private tokens = INITIAL_TOKENS;

  /**
   * @param share - retries or hedges for each first attempt, from 0 to 1
   */
  constructor(private readonly share: number) {}

  /** Records a first attempt, which adds its share to the budget. */
  recordFirst(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + this.share);
  }

  /** @returns whether a retry or hedge is within the budget now */
  hasTokens(): boolean {
    return this.tokens >= 1;
  }

  /** Takes the token of one retry or hedge. */
  take(): void {
    this.tokens -= 1;
  }
}
