import hashText from './hashText';
import type KeyMember from './KeyMember';

/** Copies of a record: its owner and two backups. */
const REPLICAS = 3;

/**
 * Finds the members that keep the record of a key: the owner first, then its backups, by
 * rendezvous hashing. Other data centres go before those that are taken already.
 *
 * @param key - the key
 * @param members - the members of the region
 * @returns at most three members
 */
export default function findReplicas(key: string, members: readonly KeyMember[]): KeyMember[] {
  const ranked = members
    .map((member) => ({ member, rank: hashText(`${member.name}/${key}`) }))
    .sort((a, b) => b.rank - a.rank || (a.member.name < b.member.name ? -1 : 1))
    .map(({ member }) => member);
  const taken = new Set<string>();
  const spread = ranked.filter(({ dataCentre }) => {
    const isNew = !taken.has(dataCentre);
    taken.add(dataCentre);
    return isNew;
  });
  const others = ranked.filter((member) => !spread.includes(member));
  return [...spread, ...others].slice(0, REPLICAS);
}
