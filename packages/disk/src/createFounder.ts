import createDurableState from '@guavayard/core/consensus/createDurableState';
import createRecords from '@guavayard/core/consensus/createRecords';
import createReplicaId from '@guavayard/core/consensus/createReplicaId';

import type DataFolder from './DataFolder';
import type OpenedReplica from './OpenedReplica';
import ReplicaLog from './ReplicaLog';

/** Data folders of founders share one id, so that each founder knows the others' identities. */
const FOUNDER_ID = '00';

/**
 * Writes the files of a replica that founds a group together with others.
 *
 * @param folder - the data folder
 * @param vmName - name of this VM
 * @param founders - names of all founders
 * @returns the replica, synced
 */
export default async function createFounder(
  folder: DataFolder,
  vmName: string,
  founders: readonly string[],
): Promise<OpenedReplica> {
  const replica = createReplicaId(vmName, FOUNDER_ID);
  const durable = createDurableState(founders.map((name) => createReplicaId(name, FOUNDER_ID)));
  const log = await ReplicaLog.create(folder, replica, createRecords(durable));
  return { replica, durable, log };
}
