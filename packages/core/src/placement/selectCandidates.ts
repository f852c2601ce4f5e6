import type PlacedTarget from './PlacedTarget';

/** Targets without a request of this entry that suffice for a selection. */
const MIN_IDLE_TARGETS = 4;
/** Highest affinity: affinities are unsigned integers of 32 bits. */
const MAX_AFFINITY = 2 ** 32 - 1;

/**
 * Ranks targets by affinity. A target with a request limit comes first: it is given only while this
 * entry has a share of its limit left, and nobody else may use that share.
 */
function rank({ affinity, requestLimit }: PlacedTarget): number {
  return affinity + (requestLimit === undefined ? 0 : MAX_AFFINITY + 1);
}

/**
 * Selects the targets that one selection round may probe. Each entry starts with a small, stable
 * set of targets and widens it only while none of them has a free slot. A target that already
 * holds a request of this entry is probed only if there are few others, because a probe alongside
 * the request needs a second connection.
 *
 * Load pattern: many entries in front of many targets, each entry with a few requests per second.
 * Probing any target of the region would keep a mostly idle connection from every entry to every
 * target, and would open a new one each time a connection has expired.
 *
 * @param targets - targets that may get the request
 * @param count - targets in the first round; each later round adds as many
 * @param failedRounds - previous rounds that found no free slot
 * @returns the targets of highest affinity
 */
export default function selectCandidates(
  targets: readonly PlacedTarget[],
  count: number,
  failedRounds: number,
): PlacedTarget[] {
  const candidates = [...targets]
    .sort((left, right) => rank(right) - rank(left))
    .slice(0, count * (failedRounds + 1));
  if (failedRounds > 0) return candidates;
  const idle = candidates.filter(({ inFlight }) => inFlight.size === 0);
  return idle.length >= MIN_IDLE_TARGETS ? idle : candidates;
}
