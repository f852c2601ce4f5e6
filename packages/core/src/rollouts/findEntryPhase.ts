const GOLDEN_RATIO = 0.618_033_988_749_895;

/**
 * Finds where an entry begins in its count of requests up to the next one for the target version.
 * The beginnings of all entries are spread evenly, so that together they send the share, also if
 * each of them has fewer requests than one in the share.
 *
 * @param names - names of all entries, in the same order at each of them
 * @param name - name of the entry
 * @returns the part of a request with which it begins, from 0 to 1
 */
export default function findEntryPhase(names: readonly string[], name: string): number {
  const index = Math.max(0, names.indexOf(name));
  return (0.5 + index * GOLDEN_RATIO) % 1;
}
