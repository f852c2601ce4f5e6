import type BoundCheck from './BoundCheck';
import checkSteadyBounds from './checkSteadyBounds';
import formatTable from './formatTable';
import runFaults from './runFaults';
import runSteady from './runSteady';

const DEFAULT_SEED = 1;
const DURATION_MS = 3000;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function formatCheck({ name, measured, limit }: BoundCheck): string {
  const verdict = measured <= limit ? 'ok  ' : 'MISS';
  return `${verdict} ${name}: ${Number(measured.toFixed(3))}, limit ${Number(limit.toFixed(3))}`;
}

const seed = Number(process.argv[2] ?? DEFAULT_SEED);
print(`seed ${seed}, ${DURATION_MS} ms of virtual time a run`);
const steady = runSteady(DURATION_MS, seed);
print(formatTable(steady));
const faults = runFaults(seed);
print(formatTable(faults.results));
const checks = [...checkSteadyBounds(steady), ...faults.checks];
checks.forEach((check) => print(formatCheck(check)));
if (checks.some(({ measured, limit }) => measured > limit)) process.exitCode = 1;
