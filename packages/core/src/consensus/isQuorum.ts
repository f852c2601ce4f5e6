import type Members from './Members';
import type ReplicaId from './ReplicaId';

/**
 * Returns whether a majority of the voters satisfies a condition. Learners do not count.
 *
 * @param members - the members of the group
 * @param agrees - returns whether a voter satisfies the condition
 * @returns true if a majority of the voters agrees
 */
export default function isQuorum(
  members: Members,
  agrees: (voter: ReplicaId) => boolean,
): boolean {
  return members.voters.filter(agrees).length * 2 > members.voters.length;
}
