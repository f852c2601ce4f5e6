/** Further attempts that may always be made, so that a quiet service can retry at all. */
const INITIAL_TOKENS = 1;
/** Most further attempts that can be saved up. */
const MAX_TOKENS = 10;

/** Keeps further attempts (retries, hedges) within a share of the first attempts. */
export default class AttemptBudget {
  private tokens = INITIAL_TOKENS;

  /**
   * @param share - further attempts for each first attempt, 0 to 1
   */
  constructor(private readonly share: number) {}

  /** Counts a first attempt. */
  recordFirst(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + this.share);
  }

  /** @returns whether a further attempt may be made now */
  hasTokens(): boolean {
    return this.tokens >= 1;
  }

  /** Pays for a further attempt. */
  take(): void {
    this.tokens -= 1;
  }
}
