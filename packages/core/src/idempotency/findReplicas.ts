import hashText from './hashText';
import type KeyMember from './KeyMember';

/** Number of replicas of a record: its owner and two backups. */
const REPLICA_COUNT = 3;

/**
 * Selects the members that store the record of a key by rendezvous hashing. Data centres that hold
 * no replica yet are preferred over those that do.
 *
 * @param key - the idempotency key
 * @param members - the members of the region
 * @returns at most three members, the owner first, then its backups
 */
export default function findReplicas(key: string, members: readonly KeyMember[]): KeyMember[] {
  const ranked = members
    .map((member) => ({ member, rank: hashText(`${member.name}/${key}`) }))
    .sort((a, b) => b.rank - a.rank || (a.member.name < b.member.name ? -1 : 1))
    .map(({ member }) => member);
  const usedDataCentres = new Set<string>();
  const firstPerDataCentre = ranked.filter(({ dataCentre }) => {
    const isNew = !usedDataCentres.has(dataCentre);
    usedDataCentres.add(dataCentre);
    return isNew;
  });
  const others = ranked.filter((member) => !firstPerDataCentre.includes(member));
  return [...firstPerDataCentre, ...others].slice(0, REPLICA_COUNT);
}
