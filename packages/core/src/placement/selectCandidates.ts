import type PlacedTarget from './PlacedTarget';

/**
 * Selects the targets that one look for a free slot may ask. Each entry starts with the same few
 * targets of its own, and looks at more of them only while those have no room.
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
  return [...targets]
    .sort((left, right) => right.affinity - left.affinity)
    .slice(0, count * (looks + 1));
}
