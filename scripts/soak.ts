import { performance } from 'node:perf_hooks';
import { parseArgs } from 'node:util';

import { build } from 'hdr-histogram-js';

import createRandom from '@guavayard/core/utils/createRandom';
import DATA_CENTRES from './soak/dataCentres';
import SoakCaller from './soak/SoakCaller';
import SoakCluster from './soak/SoakCluster';
import SoakFaults from './soak/SoakFaults';
import SoakLedger from './soak/SoakLedger';
import SoakTarget from './soak/SoakTarget';

const CALLERS = 12;
const TARGETS_PER_DATA_CENTRE = 2;
const FAULT_INTERVAL_MS = 1500;
const MS_PER_SECOND = 1000;
const MAX_LATENCY_MS = 60_000;
const SETTLE_MS = 3000;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function findEntry(cluster: SoakCluster): SoakCluster['entries'][number] | undefined {
  const ready = cluster.entries.filter((entry) => entry.isRunning && entry.hasLine((line) => line.listener === 'caller'));
  return ready[Math.floor(Math.random() * ready.length)];
}

function createTargets(cluster: SoakCluster, ledger: SoakLedger): SoakTarget[] {
  return DATA_CENTRES.flatMap(({ dataCentre }) => (
    Array.from({ length: TARGETS_PER_DATA_CENTRE }, (_, index) => new SoakTarget(
      `${dataCentre}-target-${index}`,
      dataCentre,
      () => findEntry(cluster)?.address('target'),
      (run) => ledger.runs.push(run),
    ))
  ));
}

function createCallers(cluster: SoakCluster, ledger: SoakLedger): SoakCaller[] {
  return Array.from({ length: CALLERS }, (_, index) => new SoakCaller({
    name: `c${index}`,
    entryAddress: () => findEntry(cluster)?.address('caller'),
    onSent: (sent) => ledger.sent.push(sent),
  }));
}

async function injectFaults(faults: SoakFaults, endMs: number): Promise<void> {
  const pending: Promise<void>[] = [];
  while (performance.now() < endMs) {
    pending.push(faults.injectOne());
    // eslint-disable-next-line no-await-in-loop -- faults start at a fixed interval
    await sleep(FAULT_INTERVAL_MS);
  }
  await Promise.all(pending);
}

function report(ledger: SoakLedger): void {
  (['read', 'keyed', 'plain'] as const).forEach((kind) => {
    const sent = ledger.sent.filter((one) => one.kind === kind);
    const succeeded = sent.filter((one) => one.status === 200);
    const disconnected = sent.filter((one) => one.status === undefined);
    const histogram = build({ highestTrackableValue: MAX_LATENCY_MS });
    succeeded.forEach((one) => histogram.recordValue(Math.round(one.latencyMs)));
    const [p50, p99] = [50, 99].map((percentile) => histogram.getValueAtPercentile(percentile));
    print(`${kind}: sent ${sent.length}, succeeded ${succeeded.length}, connection lost ${disconnected.length}, p50 ${p50} ms, p99 ${p99} ms`);
  });
  const statuses = new Map<string, number>();
  ledger.sent.filter((one) => one.status !== 200 && one.status !== undefined).forEach((one) => {
    const name = `${one.status} ${one.outcome}`;
    statuses.set(name, (statuses.get(name) ?? 0) + 1);
  });
  statuses.forEach((count, name) => print(`  ${name}: ${count}`));
}

async function findInvariantViolations(cluster: SoakCluster): Promise<string[]> {
  const overview = (await cluster.client().vms()).unwrap();
  return overview.vms.flatMap((vm) => Object.entries(vm.entry?.invariants ?? {})
    .filter(([, count]) => count > 0)
    .map(([name, count]) => `${vm.vm}: invariant ${name} violated ${count} times`));
}

async function soak(cluster: SoakCluster, seconds: number, seed: number): Promise<string[]> {
  const ledger = new SoakLedger();
  const targets = createTargets(cluster, ledger);
  const faults = new SoakFaults(cluster, targets, ledger, createRandom(seed), print);
  await cluster.waitForVoters();
  await faults.patch('/services/ledger', { timeoutMs: 10_000 });
  for (let index = 0; index < DATA_CENTRES.length; index += 1) {
    const location = DATA_CENTRES[index];
    // eslint-disable-next-line no-await-in-loop -- each patch is based on the previous one
    if (location !== undefined) await faults.patch(`/dataCentres/${location.dataCentre}`, { region: location.region, state: 'in' });
  }
  await faults.patch('/routes/ledger', { pathPrefix: '/ledger', service: 'ledger' });
  await Promise.all(targets.map(async (target) => target.start()));
  await sleep(SETTLE_MS);
  const callers = createCallers(cluster, ledger);
  const running = callers.map(async (caller) => caller.run());
  await injectFaults(faults, performance.now() + seconds * MS_PER_SECOND);
  await sleep(SETTLE_MS);
  callers.forEach((caller) => caller.stop());
  await Promise.all(running);
  report(ledger);
  const violations = [...ledger.findViolations(), ...await findInvariantViolations(cluster)];
  targets.forEach((target) => target.crash());
  return violations;
}

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: { seed: { type: 'string', default: '1' }, seconds: { type: 'string', default: '60' } },
  });
  print(`seed ${values.seed}, ${values.seconds} s`);
  const cluster = await SoakCluster.start();
  try {
    const violations = await soak(cluster, Number(values.seconds), Number(values.seed));
    violations.forEach((violation) => print(`BROKEN: ${violation}`));
    print(violations.length === 0 ? 'no guarantee was violated' : `${violations.length} violations`);
    process.exitCode = violations.length === 0 ? 0 : 1;
  } finally {
    await cluster.remove();
  }
}

main().catch((err: Error) => {
  process.stderr.write(`${err.stack}\n`);
  process.exit(1);
});
