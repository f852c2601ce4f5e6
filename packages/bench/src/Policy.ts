import type BenchEntryLocation from './BenchEntryLocation';
import type EntryPolicy from './EntryPolicy';
import type Fleet from './Fleet';

/** A scheduling policy that the benchmark compares. */
interface Policy {
  readonly name: string;
  /**
   * Creates the components of the policy for every entry.
   *
   * @param fleet - the targets, the clock and the seed
   * @param locations - the locations of the entries
   * @returns the components of each entry, in the order of `locations`
   */
  create: (fleet: Fleet, locations: readonly BenchEntryLocation[]) => EntryPolicy[];
}

export default Policy;
