import calculateConnectionShare from '../subsetting/calculateConnectionShare';
import connectionLimits from './connectionLimits';

/**
 * Finds how many connections of an entry to a target may carry requests. A target resets the
 * connections beyond those that it accepts from all entries together, and a request that is reset
 * may have run.
 *
 * @param connectionLimit - connections that the target accepts; undefined if that is not declared
 * @param entryCount - number of entries; undefined while this entry does not know the others
 * @returns the share of this entry without the connection that is left to probes, at least 1
 */
export default function findConnectionLimit(
  connectionLimit: number | undefined,
  entryCount: number | undefined,
): number {
  const { maxPerTarget, unknownShare, keptForProbes } = connectionLimits;
  const share = connectionLimit === undefined || entryCount === undefined
    ? Math.min(unknownShare, connectionLimit ?? Infinity)
    : calculateConnectionShare({ connectionLimit }, entryCount);
  return Math.max(1, Math.min(maxPerTarget, share) - keptForProbes);
}
