const MAX_SHARE = 0.95;

/**
 * Weighs responses: are they those of a usual version, or of one with more bad responses?
 *
 * @param bad - number of bad responses
 * @param total - number of responses
 * @param usualShare - share of bad responses of the versions in force, above 0
 * @param excess - share of bad responses that a bad version has beside the usual ones
 * @returns the logarithm of how much likelier they are if the version is bad
 */
export default function weighEvidence(
  bad: number,
  total: number,
  usualShare: number,
  excess: number,
): number {
  const badShare = Math.min(MAX_SHARE, usualShare + excess);
  // So many of the usual responses are bad that nothing can be told.
  if (badShare <= usualShare) return 0;
  return bad * Math.log(badShare / usualShare)
    + (total - bad) * Math.log((1 - badShare) / (1 - usualShare));
}
