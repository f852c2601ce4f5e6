import type Member from './Member';
import rankMember from './rankMember';

/**
 * Chooses a member by rendezvous hashing: when a member joins or leaves, only the keys that it
 * gains or loses are reassigned.
 *
 * @param key - the key to assign
 * @param members - the members, in any order
 * @returns the member with the highest rank, or undefined if there are no members
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
