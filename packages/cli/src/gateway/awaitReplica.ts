import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';

import type Logger from 'bunyan';
import type { Result } from 'ts-results';

import DataFolder from '@guavayard/disk/DataFolder';
import type OpenedReplica from '@guavayard/disk/OpenedReplica';
import openReplica from '@guavayard/disk/openReplica';

const RETRY_INTERVAL_MS = 500;
/** Shortest time between log lines about the data folder, in milliseconds. */
const LOG_INTERVAL_MS = 60_000;

interface ReplicaOptions {
  readonly path: string;
  readonly vmName: string;
  /** Names of the VMs that bootstrap the group, at the first start of a system. */
  readonly initialVoters: readonly string[];
  readonly log: Logger;
  /** Waits until no other process of this VM runs, or returns why it cannot. */
  readonly awaitOthers: () => Promise<Result<undefined, string>>;
}

/**
 * Opens the replica in a data folder. While the disk refuses it, as when it is full or read-only,
 * the folder is tried again: a process that ended would meet the same at its next start.
 *
 * @param options - the folder and what a new replica in it is to be
 * @returns the replica, or what is wrong with the contents of the folder
 */
export default async function awaitReplica(
  {
    path, vmName, initialVoters, log, awaitOthers,
  }: ReplicaOptions,
): Promise<Result<OpenedReplica, string>> {
  const folder = new DataFolder(path);
  let loggedAtMs = -Infinity;
  for (;;) {
    try {
      // eslint-disable-next-line no-await-in-loop -- attempts are sequential
      await folder.prepare();
      // eslint-disable-next-line no-await-in-loop
      return await openReplica(folder, vmName, initialVoters);
    } catch (err) {
      const { code, message } = err as NodeJS.ErrnoException;
      if (code === undefined) throw err;
      if (performance.now() - loggedAtMs >= LOG_INTERVAL_MS) {
        loggedAtMs = performance.now();
        log.error({ path, reason: message }, 'the data folder cannot be opened yet');
      }
    }
    // eslint-disable-next-line no-await-in-loop
    await sleep(RETRY_INTERVAL_MS);
    // eslint-disable-next-line no-await-in-loop
    const others = await awaitOthers();
    if (others.err) return others;
  }
}
