import type Member from './Member';
import rankMember from './rankMember';

/**
 * Chooses one member by rendezvous hashing: when a member joins or leaves, only the keys that it
 * gains or had move.
 *
 * @param key - what the members compete for
 * @param members - the members, in any order
 * @returns the member of highest rank, or undefined if there is none
 */
export default function chooseMember(key: string, members: readonly Member[]): Member | undefined {
  let best: Member | undefined;
  let bestRank = -1;
  members.forEach((member) => {
    const rank = rankMember(key, member.name);
    const isHigher = rank > bestRank || (rank === bestRank && member.name < (best?.name ?? ''));
    if (!isHigher) return;
    best = member;
    bestRank = rank;
  });
  return best;
}
