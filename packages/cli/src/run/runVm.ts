import { randomBytes } from 'node:crypto';

import { createLogger } from 'bunyan';
import { Ok, type Result } from 'ts-results';

import readSecret from '../settings/readSecret';
import type Settings from '../settings/Settings';
import type RunContext from './RunContext';
import type Runnable from './Runnable';
import startControl from './startControl';
import startEntry from './startEntry';

const START_ID_BYTES = 8;

const STARTERS = { control: startControl, entry: startEntry } as const;

async function createContext(settings: Settings): Promise<Result<RunContext, string>> {
  const key = await readSecret(settings.vm.keyFile, 'vm.keyFile');
  const { name, region, dataCentre } = settings.vm;
  return key.map((value) => ({
    settings,
    identity: {
      name, region, dataCentre, startId: randomBytes(START_ID_BYTES).toString('hex'),
    },
    key: value,
    log: createLogger({
      name: 'guavayard', vm: name, dataCentre, level: settings.log.level,
    }),
  }));
}

/**
 * Starts the roles of a VM, control before entry.
 *
 * @param settings - the VM's settings
 * @returns the running VM, or why it cannot start
 */
export default async function runVm(settings: Settings): Promise<Result<Runnable, string>> {
  const context = await createContext(settings);
  if (context.err) return context;
  const running: Runnable[] = [];
  const roles = (['control', 'entry'] as const).filter((role) => settings.vm.roles.includes(role));
  for (let index = 0; index < roles.length; index += 1) {
    const role = roles[index];
    if (role !== undefined) {
      // eslint-disable-next-line no-await-in-loop -- the entry connects to the control role
      const started = await STARTERS[role](context.val);
      if (started.err) return started;
      running.push(started.val);
    }
  }
  context.val.log.info({ roles }, 'started');
  return Ok({
    stop: async () => {
      await Promise.all(running.map(async (runnable) => runnable.stop()));
      context.val.log.info('stopped');
    },
  });
}
