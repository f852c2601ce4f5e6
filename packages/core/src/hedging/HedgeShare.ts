import hedgeLimits from './hedgeLimits';

/**
 * Bounds the hedges of one service to a share of its first requests. Each first request earns part
 * of a hedge, and none is granted in advance, so the hedges since the start of a process are at
 * most the share of its first requests, and so are those of all entries.
 */
export default class HedgeShare {
  private saved = 0;

  /** @param share - hedges for each first request, from 0 to 1 */
  constructor(private readonly share: number) {}

  /** Whether a hedge is allowed. */
  get hasLeft(): boolean {
    // Shares such as 0.1 add up to slightly less than 1.
    return this.saved > 1 - 1e-9;
  }

  /** Records a first request. */
  recordFirst(): void {
    this.saved = Math.min(hedgeLimits.maxSaved, this.saved + this.share);
  }

  /** Takes a hedge that is sent. */
  take(): void {
    this.saved = Math.max(0, this.saved - 1);
  }
}
