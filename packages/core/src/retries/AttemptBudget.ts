/** Initial tokens, so that a service with little traffic can retry at all. */
const INITIAL_TOKENS = 1;
/** Maximum number of saved tokens. */
const MAX_TOKENS = 10;
/** Shares such as 0.1 add up to slightly less than a token. */
const ROUNDING = 1e-9;

/** Limits retries or hedges to a share of the first attempts. */
export default class AttemptBudget {
  private tokens: number;

  /**
   * @param share - retries or hedges for each first attempt, from 0 to 1
   * @param initialTokens - tokens in advance of first attempts; 0 for a limit that holds exactly
   * @param maxTokens - most tokens that are saved
   */
  constructor(
    private readonly share: number,
    initialTokens = INITIAL_TOKENS,
    private readonly maxTokens = MAX_TOKENS,
  ) {
    this.tokens = initialTokens;
  }

  /** Records a first attempt, which adds its share to the budget. */
  recordFirst(): void {
    this.tokens = Math.min(this.maxTokens, this.tokens + this.share);
  }

  /** @returns whether a retry or hedge is within the budget now */
  hasTokens(): boolean {
    return this.tokens >= 1 - ROUNDING;
  }

  /** Takes the token of one retry or hedge. */
  take(): void {
    this.tokens -= 1;
  }
}
