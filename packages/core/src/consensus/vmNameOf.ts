import type ReplicaId from './ReplicaId';

/**
 * Extracts the VM name from the identity of a replica.
 *
 * @param replica - identity of a replica
 * @returns the name of its VM
 */
export default function vmNameOf(replica: ReplicaId): string {
  return replica.slice(0, replica.indexOf('#'));
}
