import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';

import MeasuredSystem from './control/MeasuredSystem';
import measureUsage from './control/measureUsage';
import type ProcessUsage from './control/ProcessUsage';

const VOTERS = 5;
const FEW_ENTRIES = 6;
const ALL_ENTRIES = 18;
/** Time after the start of VMs in which connections and JIT compilation settle. */
const SETTLE_MS = 6000;
const USAGE_MS = 8000;
const SAMPLES = 40;
const PAUSE_MS = 50;
const RATE_PATCHES = 200;
const RESTARTS = [0, 500, 2000] as const;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printTimes(name: string, times: readonly number[]): void {
  const sorted = [...times].sort((a, b) => a - b);
  const quantile = (share: number): string => (
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN
  ).toFixed(1);
  print(`${name}: median ${quantile(0.5)} ms, p99 ${quantile(0.99)} ms, max ${quantile(1)} ms, ${times.length} patches`);
}

function printUsage(name: string, usages: readonly (ProcessUsage | undefined)[]): void {
  const max = (value: (usage: ProcessUsage) => number): number => (
    Math.max(...usages.flatMap((usage) => (usage === undefined ? [] : [value(usage)])))
  );
  const cpu = (max((usage) => usage.cpuShare) * 100).toFixed(2);
  const resident = (max((usage) => usage.residentBytes) / 1e6).toFixed(1);
  const bytes = (max((usage) => usage.bytesPerSecond) / 1000).toFixed(2);
  print(`${name} (max of ${usages.length}): ${cpu}% of a core, ${resident} MB resident, ${bytes} KB/s`);
}

async function measureInForce(system: MeasuredSystem, leader: number, name: string): Promise<void> {
  const fromAcceptance: number[] = [];
  const fromSubmission: number[] = [];
  for (let count = 0; count < SAMPLES; count += 1) {
    const submittedMs = performance.now();
    // eslint-disable-next-line no-await-in-loop -- each patch is based on the previous version
    await system.submit(leader);
    const acceptedMs = performance.now();
    // eslint-disable-next-line no-await-in-loop
    await system.waitUntilInForce();
    const inForceMs = performance.now();
    fromAcceptance.push(inForceMs - acceptedMs);
    fromSubmission.push(inForceMs - submittedMs);
    // eslint-disable-next-line no-await-in-loop
    await sleep(PAUSE_MS);
  }
  printTimes(`${name}, from acceptance to in force`, fromAcceptance);
  printTimes(`${name}, from submission to in force`, fromSubmission);
}

async function measureIdle(system: MeasuredSystem): Promise<void> {
  await sleep(SETTLE_MS);
  const leader = await system.findLeader(0);
  const vms = [...system.control, ...system.entries];
  const usages = await measureUsage(vms.map((vm) => vm.pid), USAGE_MS);
  const control = usages.slice(0, VOTERS);
  const name = `${system.entries.length} entries`;
  printUsage(`${name}, leader`, [control[leader]]);
  printUsage(`${name}, followers`, control.filter((_usage, index) => index !== leader));
  printUsage(`${name}, entries`, usages.slice(VOTERS));
}

async function measureRate(system: MeasuredSystem, leader: number): Promise<void> {
  const startMs = performance.now();
  for (let count = 0; count < RATE_PATCHES; count += 1) {
    // eslint-disable-next-line no-await-in-loop -- each patch is based on the previous version
    await system.submit(leader);
  }
  const seconds = (performance.now() - startMs) / 1000;
  print(`sequential patches: ${(RATE_PATCHES / seconds).toFixed(0)} per second`);
}

async function measureLeaderLoss(system: MeasuredSystem): Promise<void> {
  const leader = await system.findLeader(0);
  await system.control[leader]?.stop('SIGKILL');
  const startMs = performance.now();
  await system.submit((leader + 1) % VOTERS);
  print(`leader killed: next patch accepted after ${(performance.now() - startMs).toFixed(0)} ms`);
}

async function measureCluster(): Promise<void> {
  const system = new MeasuredSystem();
  try {
    await system.start(VOTERS);
    await system.addEntries(FEW_ENTRIES);
    await measureIdle(system);
    await system.addEntries(ALL_ENTRIES - FEW_ENTRIES);
    await measureIdle(system);
    const leader = await system.findLeader(0);
    await measureInForce(system, leader, 'all voters up');
    await measureRate(system, leader);
    await system.control[(leader + 1) % VOTERS]?.stop('SIGKILL');
    await measureInForce(system, leader, 'one voter down');
    await system.control[(leader + 1) % VOTERS]?.start();
    await measureLeaderLoss(system);
  } finally {
    await system.remove();
  }
}

async function measureRestart(patches: number): Promise<void> {
  const system = new MeasuredSystem();
  try {
    await system.start(1);
    for (let count = 0; count < patches; count += 1) {
      // eslint-disable-next-line no-await-in-loop -- each patch is based on the previous version
      await system.submit(0);
    }
    await system.control[0]?.stop('SIGKILL');
    const startMs = performance.now();
    await system.control[0]?.start();
    const { version } = (await system.client(0).configuration()).unwrap();
    print(`restart at version ${version}: ${(performance.now() - startMs).toFixed(0)} ms until it responds`);
  } finally {
    await system.remove();
  }
}

async function main(): Promise<void> {
  await measureCluster();
  for (let index = 0; index < RESTARTS.length; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- sequential
    await measureRestart(RESTARTS[index] ?? 0);
  }
}

main().catch((err: Error) => {
  process.stderr.write(`${err.stack ?? err.message}\n`);
  process.exitCode = 1;
});
