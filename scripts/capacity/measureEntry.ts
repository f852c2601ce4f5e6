import { spawn } from 'node:child_process';
import { setTimeout as delay } from 'node:timers/promises';

import announce from '@guavayard/emulator/announce';
import OperatorClient from '@guavayard/operator/OperatorClient';

import VmProcess from '../../test/support/VmProcess';
import measureThroughput from '../path/measureThroughput';
import createConfigurationOperations from './createConfigurationOperations';
import FakeEntry from './FakeEntry';
import readUsage from './readUsage';
import type CapacityFigure from './CapacityFigure';

const KEY = 'a key for the tests only';
const TARGETS = 1300;
const SERVICES = 37;
const SESSIONS = 100;
const LOAD_MS = 4000;
const IDLE_MS = 4000;
const CONCURRENCY = 32;
const SETTLE_MS = 1500;
const TIME_TO_LIVE_MS = 600_000;
const MS_PER_SECOND = 1000;

async function startTarget(): Promise<{ address: string; stop: () => void }> {
  const child = spawn(process.execPath, ['--import', 'tsx', 'scripts/path/StaticTarget.ts'], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  return new Promise((resolve) => {
    child.stdout.once('data', (chunk: Buffer) => {
      resolve({ address: `127.0.0.1:${chunk.toString().trim()}`, stop: () => child.kill() });
    });
  });
}

async function announceTargets(entryAddress: string, targetAddress: string): Promise<void> {
  for (let index = 0; index < TARGETS; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- sequential, like heartbeats
    await announce(entryAddress, {
      id: `target-${index}`,
      service: `service-${index % SERVICES}`,
      dataCentre: 'dc-0',
      address: targetAddress,
      slots: 4,
      connectionLimit: 260,
      startId: 'start',
      state: 'ready',
      timeToLiveMs: TIME_TO_LIVE_MS,
    });
  }
}

/**
 * Measures the CPU and memory cost of targets, sessions and requests on an entry.
 *
 * @returns the figures
 */
export default async function measureEntry(): Promise<CapacityFigure[]> {
  const location = { region: 'munster', dataCentre: 'dc-0' };
  const control = new VmProcess({
    name: 'control-1', ...location, roles: ['control'], control: ['127.0.0.1:1'],
  });
  await control.runCommand('init');
  await control.start();
  const entry = new VmProcess({
    name: 'entry-1', ...location, roles: ['entry'], control: [control.address('vm')],
  });
  const target = await startTarget();
  const peers: FakeEntry[] = [];
  try {
    await entry.start();
    const client = new OperatorClient(`http://${control.address('operator')}`, control.token);
    (await client.submit({ id: 'first', base: 0, operations: createConfigurationOperations() })).unwrap();
    await entry.waitForLine((line) => line.msg === 'configuration in force' && line.version === 1);
    await delay(SETTLE_MS);
    const idle = readUsage(entry.pid);
    await announceTargets(entry.address('target'), target.address);
    await delay(SETTLE_MS);
    const withTargets = readUsage(entry.pid);
    const beforeLoad = readUsage(entry.pid);
    const rate = await measureThroughput(entry.address('caller'), '/service-5/read/1k', CONCURRENCY, LOAD_MS);
    const afterLoad = readUsage(entry.pid);
    await delay(SETTLE_MS);
    const beforeSessions = readUsage(entry.pid);
    await delay(IDLE_MS);
    const quiet = readUsage(entry.pid);
    while (peers.length < SESSIONS) peers.push(new FakeEntry(`peer-${peers.length}`, KEY, entry.address('vm')));
    await delay(SETTLE_MS);
    const opened = readUsage(entry.pid);
    await delay(IDLE_MS);
    const withSessions = readUsage(entry.pid);
    const requests = rate * (LOAD_MS / MS_PER_SECOND);
    const idleMs = quiet.cpuMs - beforeSessions.cpuMs;
    const sessionMs = withSessions.cpuMs - opened.cpuMs - idleMs;
    return [
      { name: 'entry: memory without targets', value: idle.memoryBytes / 1e6, unit: 'MB' },
      { name: `entry: memory per target, with ${TARGETS} targets`, value: (withTargets.memoryBytes - idle.memoryBytes) / TARGETS / 1e3, unit: 'kB' },
      { name: 'entry: CPU time per announcement', value: ((withTargets.cpuMs - idle.cpuMs) / TARGETS) * 1e3, unit: 'us' },
      { name: `entry: throughput of empty responses, ${CONCURRENCY} concurrent`, value: rate, unit: '1/s' },
      { name: 'entry: CPU time per request', value: ((afterLoad.cpuMs - beforeLoad.cpuMs) / requests) * 1e3, unit: 'us' },
      { name: 'entry: memory under that load', value: afterLoad.memoryBytes / 1e6, unit: 'MB' },
      { name: 'entry: CPU time without requests', value: (idleMs / IDLE_MS) * 100, unit: '% of a core' },
      { name: `entry: memory per session, with ${SESSIONS} sessions`, value: (withSessions.memoryBytes - quiet.memoryBytes) / SESSIONS / 1e3, unit: 'kB' },
      { name: 'entry: CPU time per session with relayed lease renewals', value: (sessionMs / SESSIONS / (IDLE_MS / MS_PER_SECOND)) * 1e3, unit: 'us/s' },
    ];
  } finally {
    peers.forEach((peer) => peer.close());
    target.stop();
    await entry.remove();
    await control.remove();
  }
}
