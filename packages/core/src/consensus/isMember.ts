import type Members from './Members';
import type ReplicaId from './ReplicaId';

/**
 * Returns whether a replica belongs to the group.
 *
 * @param members - the members of the group
 * @param replica - the replica to look up
 * @returns true if the replica is a voter or a learner
 */
export default function isMember(members: Members, replica: ReplicaId): boolean {
  return members.voters.includes(replica) || members.learners.includes(replica);
}
