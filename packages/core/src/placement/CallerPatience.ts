/** What is left of the longest patience with each request, so that a rare long one is forgotten. */
const DECAY = 0.999;

/**
 * Learns for each route how long its callers wait in all. A caller that comes again says only what
 * is left, so the difference tells how long it has waited already.
 *
 * Load pattern: after seconds without service all refused callers come back together with new
 * ones. Those that have waited past the target latency gain little from going first, while the new
 * ones behind them become late as well.
 */
export default class CallerPatience {
  private readonly longestMs = new Map<string, number>();

  /**
   * Takes a request.
   *
   * @param routeName - its route
   * @param remainingMs - how long its caller will still wait
   * @returns how long the caller has waited before, in milliseconds
   */
  note(routeName: string, remainingMs: number): number {
    const longest = Math.max(remainingMs, (this.longestMs.get(routeName) ?? 0) * DECAY);
    this.longestMs.set(routeName, longest);
    return longest - remainingMs;
  }
}
