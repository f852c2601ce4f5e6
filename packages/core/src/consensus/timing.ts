/** Times of the protocol, in milliseconds. */
const timing = {
  heartbeatMs: 200,
  /** Shortest silence of a leader after which an election may start. */
  electionMinMs: 700,
  electionMaxMs: 1300,
  snapshotResendMs: 2000,
  /** Silence after which a voter is replaced by one that joined. */
  lostVoterMs: 4000,
} as const;

export default timing;
