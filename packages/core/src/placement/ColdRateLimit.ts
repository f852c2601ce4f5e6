/** Rate limit of a cold target, shared by all entries. */
interface ColdRateLimit {
  /** Requests per second that all entries together may send to the target. */
  readonly requestsPerSecond: number;
  /** Entries that send to the target. */
  readonly entryNames: readonly string[];
}

export default ColdRateLimit;
