/** What a leader knows of another replica. */
interface Progress {
  /** The replica's synced log matches the leader's up to this index. */
  matchIndex: number;
  /** First index of the next append. */
  nextIndex: number;
  /** Latest round that it has answered in this term. */
  round: number;
  /** When it last answered, in milliseconds. */
  heardAtMs: number;
  /** When the last snapshot was sent, in milliseconds. */
  snapshotSentAtMs: number;
}

export default Progress;
