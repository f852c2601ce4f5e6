import type BenchEntryPlace from './BenchEntryPlace';
import type EntryPolicy from './EntryPolicy';
import type Fleet from './Fleet';

/** A way to schedule that the bench compares. */
interface Policy {
  readonly name: string;
  /**
   * Makes the policy's part of every entry.
   *
   * @param fleet - the targets, the clock and the seed
   * @param places - the entries
   * @returns one part for each entry
   */
  create: (fleet: Fleet, places: readonly BenchEntryPlace[]) => EntryPolicy[];
}

export default Policy;
