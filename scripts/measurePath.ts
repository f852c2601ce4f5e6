import { spawn } from 'node:child_process';
import { readFileSync } from 'node:fs';

import announce from '@guavayard/emulator/announce';
import OperatorClient from '@guavayard/operator/OperatorClient';

import VmProcess from '../test/support/VmProcess';
import type LatencySample from './path/LatencySample';
import measureThroughput from './path/measureThroughput';
import measureLatency from './path/measureLatency';

const ROUNDS = 3;
const ROUND_MS = 3000;
const WARM_UP_MS = 2000;
const TIME_TO_LIVE_MS = 600_000;
/** Number of targets behind the entry, as in the largest service of the benchmark profiles. */
const TARGETS = 24;
/** Clock ticks per second in which the kernel counts CPU time. */
const TICKS_PER_SECOND = 100;

const LOADS = [
  { path: '/1k', ratePerSecond: 500 },
  { path: '/1k', ratePerSecond: 2000 },
  { path: '/1m', ratePerSecond: 50 },
] as const;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

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

async function startVm(targetAddress: string): Promise<VmProcess> {
  const vm = new VmProcess({
    name: 'vm-1',
    region: 'munster',
    dataCentre: 'munster-1',
    roles: ['entry', 'control'],
    control: ['127.0.0.1:17400'],
    listen: '127.0.0.1:17400',
  });
  await vm.runCommand('init');
  await vm.start();
  const client = new OperatorClient(`http://${vm.address('operator')}`, vm.token);
  const accepted = await client.submit({
    id: 'first',
    base: 0,
    operations: [
      { op: 'add', path: '/services/listing', value: {} },
      { op: 'add', path: '/dataCentres/munster-1', value: { region: 'munster', state: 'in' } },
      { op: 'add', path: '/routes/all', value: { pathPrefix: '/', service: 'listing' } },
    ],
  });
  accepted.unwrap();
  await Promise.all(Array.from({ length: TARGETS }, async (_, index) => announce(vm.address('target'), {
    id: `target-${index}`,
    service: 'listing',
    dataCentre: 'munster-1',
    address: targetAddress,
    slots: 4,
    connectionLimit: 260,
    startId: 'start',
    state: 'ready',
    timeToLiveMs: TIME_TO_LIVE_MS,
  })));
  return vm;
}

/** Returns the CPU time that a process has used, in seconds. */
function readCpuSeconds(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
}

function formatSample(name: string, sample: LatencySample): string {
  const percentiles = [sample.p50, sample.p99, sample.p999]
    .map((microseconds) => (microseconds / 1000).toFixed(2).padStart(7));
  return `  ${name.padEnd(9)}${percentiles.join(' ')}   failed ${sample.failures}/${sample.requests}`;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
}

async function compare(
  targetAddress: string,
  entryAddress: string,
  path: string,
  ratePerSecond: number,
): Promise<void> {
  const added50: number[] = [];
  const added99: number[] = [];
  print(`${path} at ${ratePerSecond}/s, ms: p50 p99 p99.9`);
  for (let round = 0; round < ROUNDS; round += 1) {
    /* eslint-disable no-await-in-loop -- both paths alternate, so that noise affects both */
    const unproxied = await measureLatency(targetAddress, path, ratePerSecond, ROUND_MS);
    const proxied = await measureLatency(entryAddress, path, ratePerSecond, ROUND_MS);
    /* eslint-enable no-await-in-loop */
    print(formatSample('direct', unproxied));
    print(formatSample('proxied', proxied));
    added50.push(proxied.p50 - unproxied.p50);
    added99.push(proxied.p99 - unproxied.p99);
  }
  const [p50, p99] = [median(added50) / 1000, median(added99) / 1000];
  print(`  added, median of ${ROUNDS} rounds: p50 ${p50.toFixed(2)} ms, p99 ${p99.toFixed(2)} ms`);
}

async function measureRate(vm: VmProcess, path: string, concurrency: number): Promise<void> {
  const before = readCpuSeconds(vm.pid);
  const rate = await measureThroughput(vm.address('caller'), path, concurrency, ROUND_MS);
  const cpuSeconds = readCpuSeconds(vm.pid) - before;
  const responses = rate * (ROUND_MS / 1000);
  print(`${path} with ${concurrency} concurrent requests: ${rate.toFixed(0)}/s, ${(responses / cpuSeconds).toFixed(0)}/s per core`);
}

async function main(): Promise<void> {
  const target = await startTarget();
  const vm = await startVm(target.address);
  try {
    await measureThroughput(vm.address('caller'), '/1k', 32, WARM_UP_MS);
    await measureThroughput(target.address, '/1k', 32, WARM_UP_MS);
    for (let index = 0; index < LOADS.length; index += 1) {
      const load = LOADS[index];
      if (load !== undefined) {
        // eslint-disable-next-line no-await-in-loop -- one load at a time
        await compare(target.address, vm.address('caller'), load.path, load.ratePerSecond);
      }
    }
    await measureRate(vm, '/1k', 32);
    await measureRate(vm, '/1m', 8);
  } finally {
    target.stop();
    await vm.remove();
  }
}

main().catch((err: Error) => {
  process.stderr.write(`${err.stack}\n`);
  process.exitCode = 1;
});
