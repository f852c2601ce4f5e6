import { readFile } from 'node:fs/promises';

import { Err, Ok, type Result } from 'ts-results';
import * as z from 'zod';

import ReplicaId from '@guavayard/core/consensus/ReplicaId';
import replayRecords from '@guavayard/core/consensus/replayRecords';
import vmNameOf from '@guavayard/core/consensus/vmNameOf';

import createInitialVoter from './createInitialVoter';
import createReplica from './createReplica';
import type DataFolder from './DataFolder';
import type OpenedReplica from './OpenedReplica';
import ReplicaLog from './ReplicaLog';
import scanRecords from './scanRecords';

const IdentityRecord = z.strictObject({ kind: z.literal('identity'), replica: ReplicaId });

async function readReplica(
  folder: DataFolder,
  vmName: string,
): Promise<Result<OpenedReplica, string>> {
  const bytes = await readFile(folder.pathOf(ReplicaLog.fileName));
  const scan = scanRecords(bytes);
  if (scan.err) return scan;
  const [first, ...records] = scan.val.values;
  const identity = IdentityRecord.safeParse(first);
  if (!identity.success) return Err('the first record does not contain the identity of a replica');
  const { replica } = identity.data;
  if (vmNameOf(replica) !== vmName) return Err(`belongs to VM ${vmNameOf(replica)}, not to ${vmName}`);
  const durable = replayRecords(records);
  if (durable.err) return durable;
  const log = await ReplicaLog.openExisting(folder, replica, scan.val.validBytes);
  return Ok({ replica, durable: durable.val, log });
}

/**
 * Opens the replica in a data folder. An empty folder gets a new replica, which bootstraps a group
 * if the VM is an initial voter, and otherwise waits until a leader adds it to a group.
 *
 * @param folder - the prepared data folder
 * @param vmName - name of this VM
 * @param initialVoters - names of the VMs that bootstrap the group, at the first start of a system
 * @returns the replica, or a description of what is wrong with the folder
 */
export default async function openReplica(
  folder: DataFolder,
  vmName: string,
  initialVoters: readonly string[] = [],
): Promise<Result<OpenedReplica, string>> {
  const names = (await folder.list()).filter((name) => name !== ReplicaLog.newFileName);
  if (names.length === 0 && initialVoters.includes(vmName)) {
    return Ok(await createInitialVoter(folder, vmName, initialVoters));
  }
  if (names.length === 0) return Ok(await createReplica(folder, vmName, false));
  const path = folder.pathOf(ReplicaLog.fileName);
  if (!names.includes(ReplicaLog.fileName)) {
    return Err(`${path} is missing, but the folder is not empty`);
  }
  const opened = await readReplica(folder, vmName);
  return opened.mapErr((error) => (
    `${path}: ${error}; if the file cannot be repaired, empty the folder: the VM then joins as a new replica`
  ));
}
