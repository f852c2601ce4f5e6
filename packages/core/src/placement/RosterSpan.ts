/**
 * Whether the entries of a roster count on an entry as one of them: they do, it has only started
 * and they may not know it yet, or control may have lost it and they no longer do.
 */
type Membership = 'settled' | 'starting' | 'lost';

/** What an entry knew, from some moment on, of the entries that share limits with it. */
interface RosterSpan {
  /** Names of the entries, as control listed them. */
  readonly entryNames: readonly string[];
  readonly membership: Membership;
  /** Start, in milliseconds of the monotonic clock. */
  readonly sinceMs: number;
}

export default RosterSpan;
