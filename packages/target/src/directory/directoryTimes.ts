/** Intervals and timeouts that entries use to agree that a target is alive, in milliseconds. */
const directoryTimes = {
  /** Interval at which each entry confirms the targets that it holds. */
  confirmIntervalMs: 1000,
  /** Heartbeats are not forwarded to a holder whose last confirmation is older than this. */
  maxConfirmationAgeMs: 2000,
  /** Minimum time that a copy of a record stays live without its holder. */
  minCopyLifeMs: 3000,
  /** How long the record of a removed target is kept, so that a stale update cannot revive it. */
  retentionMs: 600_000,
} as const;

export default directoryTimes;
