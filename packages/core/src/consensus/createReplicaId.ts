import type ReplicaId from './ReplicaId';

/**
 * @param vmName - name of the VM
 * @param folderId - id of its data folder, in hexadecimal
 * @returns the identity of the replica
 */
export default function createReplicaId(vmName: string, folderId: string): ReplicaId {
  return `${vmName}#${folderId}`;
}
