import calculateConnectionShare from '../subsetting/calculateConnectionShare';
import connectionLimits from './connectionLimits';

/** What determines how many connections one entry may open to a target. */
interface ConnectionDemand {
  /** Connections that the target accepts from all entries; undefined if that is not declared. */
  readonly accepted: number | undefined;
  readonly slots: number;
  /** Number of entries; undefined while this entry does not know the others. */
  readonly entryCount: number | undefined;
}

/**
 * Finds how many connections of an entry to a target may carry requests. A target resets the
 * connections beyond those that it accepts from all entries together, and a request that is reset
 * may have run.
 *
 * Entries send to free slots, so the connections that carry requests are together about as many as
 * the target has slots. If it accepts twice as many, any one entry may fill its slots, even beyond
 * an equal share.
 *
 * @param demand - the target and the entries
 * @returns the number of connections without the one that is left to probes, at least 1
 */
export default function findConnectionLimit(
  { accepted = Infinity, slots, entryCount }: ConnectionDemand,
): number {
  const { maxPerTarget, smallShare, keptForProbes } = connectionLimits;
  const share = accepted === Infinity || entryCount === undefined
    ? Math.min(smallShare, accepted)
    : calculateConnectionShare({ connectionLimit: accepted }, entryCount);
  const forSlots = 2 * slots <= accepted ? Math.min(slots, smallShare) : 0;
  return Math.max(1, forSlots, Math.min(maxPerTarget, share) - keptForProbes);
}
