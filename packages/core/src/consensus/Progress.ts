/** Replication progress of another replica, as known to the leader. */
interface Progress {
  /** Highest index up to which the replica's synced log matches the leader's. */
  matchIndex: number;
  /** Index of the first entry of the next append. */
  nextIndex: number;
  /** Latest round that the replica has responded to in this term. */
  round: number;
  /** When the replica last responded, or when tracking of it began, in milliseconds. */
  lastContactAtMs: number;
  /** Last index of the leader's log when tracking of the replica began. */
  readonly initialLastIndex: number;
  /** When the last snapshot was sent to the replica, in milliseconds. */
  snapshotSentAtMs: number;
}

export default Progress;
