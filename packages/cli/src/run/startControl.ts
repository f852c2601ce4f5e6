import { Err, Ok, type Result } from 'ts-results';

import DataFolder from '@guavayard/disk/DataFolder';
import LocalConfigurationStore from '@guavayard/disk/LocalConfigurationStore';
import RecordLog from '@guavayard/disk/RecordLog';
import OperatorListener from '@guavayard/operator/OperatorListener';
import ConfigurationPublisher from '@guavayard/vm/control/ConfigurationPublisher';

import readSecret from '../settings/readSecret';
import closeServer from './closeServer';
import createReportService from './createReportService';
import listen from './listen';
import type RunContext from './RunContext';
import type Runnable from './Runnable';

const LOG_FILE = 'configuration.log';

async function openStore(
  path: string,
): Promise<Result<{ store: LocalConfigurationStore; publisher: ConfigurationPublisher }, string>> {
  const folder = new DataFolder(path);
  try {
    await folder.prepare();
  } catch (err) {
    return Err(`disk.folder: ${path} is not writable: ${(err as NodeJS.ErrnoException).code}`);
  }
  const opened = await RecordLog.open(folder, LOG_FILE);
  if (opened.err) return opened;
  const publisher = new ConfigurationPublisher();
  const store = new LocalConfigurationStore(
    opened.val.log,
    opened.val.values,
    (latest) => publisher.publish(latest),
  );
  return Ok({ store, publisher });
}

/**
 * Starts the control role.
 *
 * @param context - settings, identity, key and log
 * @returns the running role, or why it cannot start
 */
export default async function startControl(context: RunContext): Promise<Result<Runnable, string>> {
  const {
    settings, identity, hub, log,
  } = context;
  if (settings.disk === undefined || settings.operator === undefined) {
    return Err('role "control" needs the sections [disk] and [operator]');
  }
  const token = await readSecret(settings.operator.tokenFile, 'operator.tokenFile');
  if (token.err) return token;
  const opened = await openStore(settings.disk.folder);
  if (opened.err) return opened;
  const { store, publisher } = opened.val;
  hub.addHandler(publisher);
  context.reports.provide({ version: () => store.latest.version });
  const operatorListener = new OperatorListener(store, () => ({
    vm: identity.name,
    version: store.latest.version,
    entries: publisher.entries.map((entry) => entry.name),
  }), token.val, createReportService(context, () => store.latest));
  const operatorBound = await listen(operatorListener.server, settings.operator.listen, 'operator', log);
  if (operatorBound.err) return operatorBound;
  return Ok({ stop: async () => closeServer(operatorListener.server) });
}
