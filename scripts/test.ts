import { once } from 'node:events';
import { readdirSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { run } from 'node:test';
import { spec as SpecReporter } from 'node:test/reporters';

import readKnownFailures from './readKnownFailures';

const FOLDERS = ['packages', 'platform', 'test', 'scripts'];
/** Number of test files that run in parallel. */
const CONCURRENCY = 4;
/** Ending of test files that run one by one after all others, as they measure a whole process. */
const SOLO_ENDING = '.solo.test.ts';

function findTestFiles(): string[] {
  return FOLDERS.flatMap((folder) => readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter((path) => path.endsWith('.test.ts') && !path.includes('node_modules'))
    .map((path) => resolve(join(folder, path)))).sort();
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

const known = readKnownFailures();
const paths = process.argv.slice(2).map((path) => resolve(path));
const failed = new Set<string>();
let executedCount = 0;

/** Runs test files, prints their results and records the failures. */
async function runFiles(files: string[], concurrency: number): Promise<void> {
  // Without files, the runner would look for some by itself.
  if (files.length === 0) return;
  const events = run({ files, concurrency });
  events.on('test:pass', () => {
    executedCount += 1;
  });
  events.on('test:fail', ({ name, details }) => {
    executedCount += 1;
    // A parent test fails if a subtest fails; only the subtests are recorded.
    if ((/^\d+ subtests? failed$/.exec(details.error.message)) === null) failed.add(name);
  });
  const results = events.compose(new SpecReporter());
  results.pipe(process.stdout, { end: false });
  await once(results, 'end');
}

/** Prints the verdict over all files and sets the exit code. */
function report(): void {
  const knownFailed = known.filter((entry) => failed.has(entry.test));
  const names = new Set(knownFailed.map((entry) => entry.test));
  const unexpected = [...failed].filter((name) => !names.has(name));
  knownFailed.forEach((entry) => print(`KNOWN RED, passed over:\n${entry.text}\n`));
  unexpected.forEach((name) => print(`FAILED: ${name}`));
  print(`${executedCount} tests executed, ${unexpected.length} failed, ${knownFailed.length} known`);
  if (executedCount === 0) print('no test was executed');
  process.exitCode = unexpected.length > 0 || executedCount === 0 ? 1 : 0;
}

async function runAll(): Promise<void> {
  const files = paths.length > 0 ? paths : findTestFiles();
  await runFiles(files.filter((path) => !path.endsWith(SOLO_ENDING)), CONCURRENCY);
  await runFiles(files.filter((path) => path.endsWith(SOLO_ENDING)), 1);
  report();
}

runAll().catch((err: unknown) => {
  print(`the tests could not be run: ${String(err)}`);
  process.exitCode = 1;
});
