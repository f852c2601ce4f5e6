import { randomBytes } from 'node:crypto';

import createDurableState from '@guavayard/core/consensus/createDurableState';
import createConsensusRecords from '@guavayard/core/consensus/createConsensusRecords';
import createReplicaId from '@guavayard/core/consensus/createReplicaId';

import type DataFolder from './DataFolder';
import type OpenedReplica from './OpenedReplica';
import ReplicaLog from './ReplicaLog';

const FOLDER_ID_BYTES = 8;

/**
 * Creates the log of a new replica in an empty data folder.
 *
 * @param folder - the data folder
 * @param vmName - name of this VM
 * @param startsGroup - whether the replica is the first voter of a new group; otherwise it waits
 * until a leader adds it to a group
 * @returns the replica, once its log is synced
 */
export default async function createReplica(
  folder: DataFolder,
  vmName: string,
  startsGroup: boolean,
): Promise<OpenedReplica> {
  const replica = createReplicaId(vmName, randomBytes(FOLDER_ID_BYTES).toString('hex'));
  const durable = createDurableState(startsGroup ? [replica] : []);
  const log = await ReplicaLog.create(folder, replica, createConsensusRecords(durable));
  return { replica, durable, log };
}
