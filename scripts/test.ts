import { readdirSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { run } from 'node:test';
import { spec as SpecReporter } from 'node:test/reporters';

import readKnownFailures from './readKnownFailures';

const FOLDERS = ['packages', 'platform', 'test', 'scripts'];
/** Number of test files that run in parallel. */
const CONCURRENCY = 4;

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

const events = run({ files: paths.length > 0 ? paths : findTestFiles(), concurrency: CONCURRENCY });
events.on('test:pass', () => {
  executedCount += 1;
});
events.on('test:fail', ({ name, details }) => {
  executedCount += 1;
  // A parent test fails if a subtest fails; only the subtests are recorded.
  if ((/^\d+ subtests? failed$/.exec(details.error.message)) === null) failed.add(name);
});
events.on('end', () => {
  const knownFailed = known.filter((entry) => failed.has(entry.test));
  const names = new Set(knownFailed.map((entry) => entry.test));
  const unexpected = [...failed].filter((name) => !names.has(name));
  knownFailed.forEach((entry) => print(`KNOWN RED, passed over:\n${entry.text}\n`));
  unexpected.forEach((name) => print(`FAILED: ${name}`));
  if (executedCount === 0) print('no test was executed');
  process.exitCode = unexpected.length > 0 || executedCount === 0 ? 1 : 0;
});
events.compose(new SpecReporter()).pipe(process.stdout);
