/** Times by which entries agree that a target is alive, in milliseconds. */
const directoryTimes = {
  /** Each entry vouches for the targets that it holds this often. */
  vouchIntervalMs: 1000,
  /** A holder that has not vouched for so long no longer gets heartbeats passed on. */
  maxVouchAgeMs: 2000,
  /** Shortest time that the copy of a record lives without its holder. */
  minCopyLifeMs: 3000,
  /** The record of a target that is gone is kept this long, so that old news cannot revive it. */
  retentionMs: 600_000,
} as const;

export default directoryTimes;
