/** How the replicas write, and faults injected to show that the model detects their effects. */
interface ModelOptions {
  /** Whether replicas process events while writes are in progress. */
  readonly syncsLate?: boolean;
  /** Whether effects do not wait for the writes that they rest on. */
  readonly sendsUnsynced?: boolean;
  /** Whether leaders count their own entries before they are synced. */
  readonly countsUnsynced?: boolean;
  /** Whether the disk loses the term and the vote. */
  readonly losesVotes?: boolean;
}

export default ModelOptions;
