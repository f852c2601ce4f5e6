import type ReplicaId from './ReplicaId';

/**
 * Builds the identity of a replica.
 *
 * @param vmName - name of the VM
 * @param folderId - id of the data folder of the VM, in hexadecimal
 * @returns the identity of the replica
 */
export default function createReplicaId(vmName: string, folderId: string): ReplicaId {
  return `${vmName}#${folderId}`;
}
