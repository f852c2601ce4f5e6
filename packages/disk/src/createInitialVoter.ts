import createDurableState from '@guavayard/core/consensus/createDurableState';
import createConsensusRecords from '@guavayard/core/consensus/createConsensusRecords';
import createReplicaId from '@guavayard/core/consensus/createReplicaId';

import type DataFolder from './DataFolder';
import type OpenedReplica from './OpenedReplica';
import ReplicaLog from './ReplicaLog';

/** Folder id shared by all initial voters, so that each knows the identities of the others. */
const FOLDER_ID = '00';

/**
 * Creates the log of an initial voter, which bootstraps a group together with the others.
 *
 * @param folder - the data folder
 * @param vmName - name of this VM
 * @param initialVoters - names of the VMs of all initial voters
 * @returns the replica, once its log is synced
 */
export default async function createInitialVoter(
  folder: DataFolder,
  vmName: string,
  initialVoters: readonly string[],
): Promise<OpenedReplica> {
  const replica = createReplicaId(vmName, FOLDER_ID);
  const durable = createDurableState(initialVoters.map((name) => createReplicaId(name, FOLDER_ID)));
  const log = await ReplicaLog.create(folder, replica, createConsensusRecords(durable));
  return { replica, durable, log };
}
