import { randomBytes } from 'node:crypto';

import { createLogger } from 'bunyan';
import { Ok, type Result } from 'ts-results';

import VmHub from '@guavayard/vm/session/VmHub';
import type VmIdentity from '@guavayard/vm/session/VmIdentity';
import ReportResponder from '@guavayard/vm/status/ReportResponder';

import readSecret from '../settings/readSecret';
import type Settings from '../settings/Settings';
import createMetrics from './createMetrics';
import ErrorBoundary from './ErrorBoundary';
import listen from './listen';
import type RunContext from './RunContext';
import type Stoppable from './Stoppable';
import startControl from './startControl';
import startEntry from './startEntry';
import VmReports from './VmReports';

const START_ID_BYTES = 8;

const START_ROLE = { control: startControl, entry: startEntry } as const;

function createIdentity(settings: Settings): VmIdentity {
  const {
    name, region, dataCentre, roles, listen: address,
  } = settings.vm;
  return {
    name,
    region,
    dataCentre,
    roles,
    address,
    callerAddress: settings.caller?.listen,
    startId: randomBytes(START_ID_BYTES).toString('hex'),
  };
}

async function createContext(settings: Settings): Promise<Result<RunContext, string>> {
  const key = await readSecret(settings.vm.keyFile, 'vm.keyFile');
  if (key.err) return key;
  const identity = createIdentity(settings);
  const { name, dataCentre } = identity;
  const log = createLogger({
    name: 'guavayard', vm: name, dataCentre, level: settings.log.level,
  });
  // A reader of the log that closes the pipe must not end the process.
  process.stdout.on('error', () => undefined);
  const errors = new ErrorBoundary(log);
  const hub = new VmHub(key.val, identity, { onError: (err) => errors.report(err, 'session') });
  const bound = await listen(hub.netServer, settings.vm.listen, 'vm', log);
  if (bound.err) return bound;
  // Other VMs need the bound address: with port 0 the operating system chooses the port.
  identity.address = bound.val;
  const reports = new VmReports(identity);
  hub.addHandler(new ReportResponder(reports));
  const metrics = createMetrics(settings.metrics?.statsd, identity, reports, log);
  return Ok({
    settings, identity, key: key.val, hub, log, errors, reports, metrics,
  });
}

async function startRoles(context: RunContext): Promise<Result<Stoppable[], string>> {
  const running: Stoppable[] = [];
  const roles = (['control', 'entry'] as const)
    .filter((role) => context.settings.vm.roles.includes(role));
  for (let index = 0; index < roles.length; index += 1) {
    const role = roles[index];
    if (role !== undefined) {
      // eslint-disable-next-line no-await-in-loop -- the entry role connects to the control role
      const started = await START_ROLE[role](context);
      if (started.err) return started;
      running.push(started.val);
    }
  }
  return Ok(running);
}

/**
 * Starts the roles of a VM, control before entry.
 *
 * @param settings - the VM's settings
 * @returns the running VM, or the reason why it cannot start
 */
export default async function runVm(settings: Settings): Promise<Result<Stoppable, string>> {
  const context = await createContext(settings);
  if (context.err) return context;
  const {
    hub, log, errors, metrics,
  } = context.val;
  const running = await startRoles(context.val);
  if (running.err) return running;
  metrics?.start();
  // Until here, an exception ends the process, as a VM that has not started serves nothing.
  errors.install();
  log.info({ roles: settings.vm.roles }, 'started');
  return Ok({
    stop: async () => {
      await Promise.all(running.val.map(async (runningRole) => runningRole.stop()));
      await metrics?.stop();
      hub.close();
      log.info('stopped');
    },
  });
}
