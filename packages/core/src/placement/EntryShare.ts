/** The equal share of an entry in a limit that all entries keep together. */
interface EntryShare {
  /** Entries that share the limit. */
  readonly entryCount: number;
  /** Time since which this entry has had its share without a break, by the monotonic clock. */
  readonly sinceMs: number;
}

export default EntryShare;
