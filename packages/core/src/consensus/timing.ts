/** Intervals and timeouts of the protocol, in milliseconds. */
const timing = {
  heartbeatMs: 200,
  /** Minimum time without contact to a leader before an election may start. */
  electionMinMs: 700,
  electionMaxMs: 1300,
  /**
   * Minimum election timeout of a replica that has not known a leader since its start. It is short
   * because after a restart of all replicas there is no leader to wait for, and pre-votes prevent
   * the replica from deposing a leader it has no contact to yet. It still covers several round
   * trips between regions and several disk syncs.
   */
  startMinMs: 80,
  startMaxMs: 400,
  /** Time after the start of a replica during which the startup election timeouts apply. */
  startPhaseMs: 2000,
  /** Time without a response after which a candidate requests a vote again. */
  voteResendMs: 500,
  /** Duration of a write from which on elections take into account that disks are slow. */
  slowSyncMs: 100,
  /** Longest duration of a sync for which an election is given more time. */
  maxSyncMs: 1500,
  /** Time for which a voter leaves the election to a replica to which it has granted a pre-vote. */
  otherElectionMs: 300,
  snapshotResendMs: 2000,
  /** Time without a response after which a voter that the group can do without may be removed. */
  lostVoterMs: 1500,
  /**
   * Minimum time between two new sessions that are opened with one VM because it is silent. It
   * doubles with each, as a slow link may need longer for a snapshot.
   */
  reopenMinPauseMs: 3000,
  reopenMaxPauseMs: 48_000,
} as const;

export default timing;
