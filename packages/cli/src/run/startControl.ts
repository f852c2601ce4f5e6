import { performance } from 'node:perf_hooks';

import { Err, Ok, type Result } from 'ts-results';

import DataFolder from '@guavayard/disk/DataFolder';
import type OpenedReplica from '@guavayard/disk/OpenedReplica';
import openReplica from '@guavayard/disk/openReplica';
import OperatorListener from '@guavayard/operator/OperatorListener';
import ControlTask from '@guavayard/vm/control/ControlTask';

import readSecret from '../settings/readSecret';
import closeServer from './closeServer';
import createReportService from './createReportService';
import listen from './listen';
import type RunContext from './RunContext';
import type Stoppable from './Stoppable';

/** Longer than an operator's call waits for a leader, in milliseconds. */
const CALL_LIMIT_MS = 7000;

async function openFolder(path: string, vmName: string): Promise<Result<OpenedReplica, string>> {
  const folder = new DataFolder(path);
  try {
    await folder.prepare();
  } catch (err) {
    return Err(`disk.folder: ${path} is not writable: ${(err as NodeJS.ErrnoException).code}`);
  }
  return openReplica(folder, vmName);
}

function createTask(context: RunContext, opened: OpenedReplica): ControlTask {
  const { identity, hub, log } = context;
  return new ControlTask({
    replica: opened.replica,
    durable: opened.durable,
    store: opened.log,
    hub,
    log,
    vmName: identity.name,
    clock: () => performance.now(),
    random: Math.random,
    onFailure: (err) => {
      log.fatal({ err }, 'the replica has failed; exiting to replay its log');
      process.exit(1);
    },
  });
}

/**
 * Starts the control role.
 *
 * @param context - settings, identity, sessions and log
 * @returns the running role, or the reason why it cannot start
 */
export default async function startControl(
  context: RunContext,
): Promise<Result<Stoppable, string>> {
  const {
    settings, identity, hub, log,
  } = context;
  if (settings.disk === undefined || settings.operator === undefined) {
    return Err('role "control" requires the sections [disk] and [operator]');
  }
  const token = await readSecret(settings.operator.tokenFile, 'operator.tokenFile');
  if (token.err) return token;
  const opened = await openFolder(settings.disk.folder, identity.name);
  if (opened.err) return opened;
  const task = createTask(context, opened.val);
  context.reports.provide({
    version: () => task.latest.version, control: () => task.replicaStatus(),
  });
  const reports = createReportService(context, () => task.latest);
  const operatorListener = new OperatorListener(task, () => task.status(), token.val, reports);
  const operatorBound = await listen(operatorListener.server, settings.operator.listen, 'operator', log);
  if (operatorBound.err) return operatorBound;
  task.start();
  settings.vm.control.forEach((address) => hub.connect(address));
  return Ok({
    stop: async () => {
      await closeServer(operatorListener.server, CALL_LIMIT_MS);
      task.close();
    },
  });
}
