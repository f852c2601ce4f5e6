/** How many requests a second all entries together may send to a cold target. */
interface ColdBound {
  readonly requestsPerSecond: number;
  /** Entries that send to the target. */
  readonly entryNames: readonly string[];
}

export default ColdBound;
