import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import {
  copyFileSync, existsSync, mkdirSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { test } from 'node:test';

/** Modules that dependencies load if they are installed. */
const OPTIONAL_MODULES = ['dtrace-provider', 'mv', 'safe-json-stringify', 'cbor-extract', 'moment'];

test('the binary loads no module from a node_modules folder next to it', (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'guavayard-'));
  t.after(() => rmSync(folder, { recursive: true, force: true }));
  const marker = join(folder, 'loaded');
  OPTIONAL_MODULES.forEach((name) => {
    mkdirSync(join(folder, 'node_modules', name), { recursive: true });
    writeFileSync(
      join(folder, 'node_modules', name, 'index.js'),
      `require('node:fs').appendFileSync(${JSON.stringify(marker)}, '${name} ');`,
    );
  });
  copyFileSync(resolve('dist/guavayard'), join(folder, 'guavayard'));
  const run = spawnSync(join(folder, 'guavayard'), ['run', '--settings', join(folder, 'none')]);
  assert.equal(run.status, 1);
  assert.equal(existsSync(marker), false);
});
