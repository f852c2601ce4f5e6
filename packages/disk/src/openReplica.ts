import { readFile } from 'node:fs/promises';

import { Err, Ok, type Result } from 'ts-results';
import * as z from 'zod';

import ConsensusRecord from '@guavayard/core/consensus/ConsensusRecord';
import ReplicaId from '@guavayard/core/consensus/ReplicaId';
import replayRecords from '@guavayard/core/consensus/replayRecords';
import vmNameOf from '@guavayard/core/consensus/vmNameOf';

import createInitialVoter from './createInitialVoter';
import createReplica from './createReplica';
import type DataFolder from './DataFolder';
import findSyncMark from './findSyncMark';
import type OpenedReplica from './OpenedReplica';
import readSyncMarks from './readSyncMarks';
import ReplicaLog from './ReplicaLog';
import scanRecords from './scanRecords';
import type SyncMark from './SyncMark';
import SyncMarkFile from './SyncMarkFile';

/** Advice for a file with damaged bytes. */
const REPAIR_ADVICE = 'if the file cannot be repaired, empty the folder: the VM then joins as a new replica';
/** Advice for a file that is whole, so that nobody deletes what a quorum may rely on. */
const BUILD_ADVICE = 'nothing was changed; start that build, or a later one, on this folder';

const IdentityRecord = z.strictObject({ kind: z.literal('identity'), replica: ReplicaId });

/** The checksums hold, so a record that does not match the schema is not damaged. */
function explainReplayError(error: string, records: readonly unknown[]): string {
  const index = records.findIndex((record) => !ConsensusRecord.safeParse(record).success);
  if (index < 0) return `${error}; ${REPAIR_ADVICE}`;
  return `record ${index} was written by a build that this one does not understand; ${BUILD_ADVICE}: ${error}`;
}

async function readMarks(folder: DataFolder): Promise<SyncMark[]> {
  if (!(await folder.list()).includes(SyncMarkFile.fileName)) return [];
  return readSyncMarks(await readFile(folder.pathOf(SyncMarkFile.fileName)));
}

async function readReplica(
  folder: DataFolder,
  vmName: string,
): Promise<Result<OpenedReplica, string>> {
  const bytes = await readFile(folder.pathOf(ReplicaLog.fileName));
  const marks = await readMarks(folder);
  const mark = findSyncMark(bytes, marks);
  const scan = scanRecords(bytes, mark?.syncedBytes);
  if (scan.err) return Err(`${scan.val}; ${REPAIR_ADVICE}`);
  const [first, ...records] = scan.val.values;
  const identity = IdentityRecord.safeParse(first);
  if (!identity.success) return Err(`the first record does not contain the identity of a replica; ${REPAIR_ADVICE}`);
  const { replica } = identity.data;
  if (vmNameOf(replica) !== vmName) return Err(`belongs to VM ${vmNameOf(replica)}, not to ${vmName}; ${REPAIR_ADVICE}`);
  const durable = replayRecords(records);
  if (durable.err) return Err(explainReplayError(durable.val, records));
  const whole = bytes.subarray(0, scan.val.validBytes);
  const log = await ReplicaLog.openExisting(folder, replica, {
    bytes: whole, start: mark, sequence: marks[0]?.sequence ?? 0,
  });
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
  return opened.mapErr((error) => `${path}: ${error}`);
}
