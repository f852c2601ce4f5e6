import type Members from './Members';
import type ReplicaId from './ReplicaId';

/**
 * @param members - the members of the group
 * @param agrees - tells whether a voter agrees
 * @returns true if a majority of the voters agree
 */
export default function isQuorum(
  members: Members,
  agrees: (voter: ReplicaId) => boolean,
): boolean {
  return members.voters.filter(agrees).length * 2 > members.voters.length;
}
