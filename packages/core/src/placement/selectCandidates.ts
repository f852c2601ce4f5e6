import type PlacedTarget from './PlacedTarget';

/** Targets without own requests that are enough to choose from. */
const ENOUGH_IDLE = 4;

/**
 * Selects the targets that one look for a free slot may ask. Each entry starts with the same few
 * targets of its own, and looks at more of them only while those have no room. A target that holds
 * a request of this entry already is asked only if there are few others: a probe beside the request
 * takes a second connection.
 *
 * Load pattern: many entries that serve a few requests a second each, before many targets. Asking
 * any target of the region keeps a connection of every entry to every target, most of them idle,
 * and pays for a new one whenever it was idle for too long.
 *
 * @param targets - targets that may get the request
 * @param count - targets that the first look may ask; each further one may ask as many more
 * @param looks - looks that found no free slot
 * @returns the targets of highest affinity
 */
export default function selectCandidates(
  targets: readonly PlacedTarget[],
  count: number,
  looks: number,
): PlacedTarget[] {
  const candidates = [...targets]
    .sort((left, right) => right.affinity - left.affinity)
    .slice(0, count * (looks + 1));
  if (looks > 0) return candidates;
  const idle = candidates.filter(({ inFlight }) => inFlight.size === 0);
  return idle.length >= ENOUGH_IDLE ? idle : candidates;
}
