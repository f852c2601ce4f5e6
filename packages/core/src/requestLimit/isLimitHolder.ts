import rankMember from '../ownership/rankMember';

/**
 * Returns whether an entry is among the holders of a target's request limit. Rendezvous hashing
 * selects them, so that entries agree without messages, and a change of membership replaces only
 * the holders that left.
 *
 * @param targetId - id of the target
 * @param holders - number of holders
 * @param entryNames - names of the entries that share the limit
 * @param entryName - name of the entry
 * @returns false also for an entry that is not listed: the others do not count on it
 */
export default function isLimitHolder(
  targetId: string,
  holders: number,
  entryNames: readonly string[],
  entryName: string,
): boolean {
  if (!entryNames.includes(entryName)) return false;
  const own = rankMember(targetId, entryName);
  const ahead = entryNames.filter((name) => {
    const rank = rankMember(targetId, name);
    return rank > own || (rank === own && name < entryName);
  });
  return ahead.length < holders;
}
