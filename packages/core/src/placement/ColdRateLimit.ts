import type RosterSpan from './RosterSpan';

/** Rate limit of a cold target, shared by all entries. */
interface ColdRateLimit {
  /** Requests per second that all entries together may send to the target. */
  readonly requestsPerSecond: number;
  /** What this entry has recently known of the entries that send to the target. */
  readonly rosters: readonly RosterSpan[];
}

export default ColdRateLimit;
