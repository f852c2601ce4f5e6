import { setTimeout as delay } from 'node:timers/promises';

import OperatorClient from '@guavayard/operator/OperatorClient';

import VmProcess from '../../test/support/VmProcess';
import CountingProxy from './CountingProxy';
import createConfigurationOperations from './createConfigurationOperations';
import FakeEntry from './FakeEntry';
import readUsage from './readUsage';
import type CapacityFigure from './CapacityFigure';

const KEY = 'a key for the tests only';
const FEW_ENTRIES = 20;
const MANY_ENTRIES = 120;
const ROUND_MS = 6000;
const PATCHES = 10;
const POLL_MS = 20;
const MS_PER_SECOND = 1000;

interface Round {
  readonly cpuMs: number;
  readonly bytes: number;
  readonly memoryBytes: number;
}

async function waitUntil(isDone: () => boolean): Promise<void> {
  if (isDone()) return;
  await delay(POLL_MS);
  await waitUntil(isDone);
}

async function measureRound(
  pid: number,
  proxy: CountingProxy,
  work: () => Promise<void>,
): Promise<Round> {
  const before = readUsage(pid);
  const bytesBefore = proxy.bytes;
  await work();
  const after = readUsage(pid);
  return {
    cpuMs: after.cpuMs - before.cpuMs,
    bytes: proxy.bytes - bytesBefore,
    memoryBytes: after.memoryBytes,
  };
}

async function submitPatches(
  client: OperatorClient,
  entries: readonly FakeEntry[],
  base: number,
): Promise<void> {
  for (let index = 0; index < PATCHES; index += 1) {
    const value = index % 2 === 0 ? 'out' : 'in';
    const operations = [{ op: 'replace' as const, path: '/dataCentres/dc-6/state', value }];
    // eslint-disable-next-line no-await-in-loop -- each patch is based on the previous one
    const version = await client.submit({ id: `patch-${base + index}`, base: base + index, operations });
    // eslint-disable-next-line no-await-in-loop
    await waitUntil(() => entries.every((entry) => entry.version === version.unwrap()));
  }
}

/**
 * Measures the CPU, memory and network cost of entries and patches on a control VM.
 *
 * @returns the figures
 */
export default async function measureControl(): Promise<CapacityFigure[]> {
  const control = new VmProcess({
    name: 'control-1', region: 'munster', dataCentre: 'munster-1', roles: ['control'], control: ['127.0.0.1:1'],
  });
  const entries: FakeEntry[] = [];
  await control.runCommand('init');
  await control.start();
  const proxy = new CountingProxy(control.address('vm'));
  const address = await proxy.listen();
  const addEntries = async (count: number): Promise<void> => {
    while (entries.length < count) entries.push(new FakeEntry(`entry-${entries.length}`, KEY, address));
    await waitUntil(() => entries.every((entry) => entry.version !== undefined));
    await delay(MS_PER_SECOND);
  };
  try {
    const client = new OperatorClient(`http://${control.address('operator')}`, control.token);
    (await client.submit({ id: 'first', base: 0, operations: createConfigurationOperations() })).unwrap();
    const configuration = (await client.configuration()).unwrap();
    const wait = async (): Promise<void> => delay(ROUND_MS);
    const idle = await measureRound(control.pid, proxy, wait);
    await addEntries(FEW_ENTRIES);
    const few = await measureRound(control.pid, proxy, wait);
    const patch = async (base: number): Promise<Round> => (
      measureRound(control.pid, proxy, async () => submitPatches(client, entries, base))
    );
    const fewPatches = await patch(1);
    await addEntries(MANY_ENTRIES);
    const many = await measureRound(control.pid, proxy, wait);
    const manyPatches = await patch(1 + PATCHES);
    const addedEntries = MANY_ENTRIES - FEW_ENTRIES;
    const entrySeconds = addedEntries * (ROUND_MS / MS_PER_SECOND);
    return [
      { name: 'control: memory without entries', value: idle.memoryBytes / 1e6, unit: 'MB' },
      { name: 'control: CPU time without entries', value: (idle.cpuMs / ROUND_MS) * 100, unit: '% of a core' },
      { name: 'control: memory per entry', value: (many.memoryBytes - few.memoryBytes) / addedEntries / 1e3, unit: 'kB' },
      { name: 'control: bytes per entry that holds a lease, both directions', value: (many.bytes - few.bytes) / entrySeconds, unit: 'B/s' },
      { name: 'control: CPU time per entry that holds a lease', value: ((many.cpuMs - few.cpuMs) / entrySeconds) * 1e3, unit: 'us/s' },
      { name: 'control: the configuration as JSON', value: JSON.stringify(configuration).length, unit: 'B' },
      { name: 'control: bytes per patch and entry', value: (manyPatches.bytes - fewPatches.bytes) / addedEntries / PATCHES, unit: 'B' },
      { name: 'control: CPU time per patch and entry', value: ((manyPatches.cpuMs - fewPatches.cpuMs) / addedEntries / PATCHES) * 1e3, unit: 'us' },
      { name: `control: CPU time per patch with ${FEW_ENTRIES} entries`, value: fewPatches.cpuMs / PATCHES, unit: 'ms' },
    ];
  } finally {
    entries.forEach((entry) => entry.close());
    proxy.close();
    await control.remove();
  }
}
