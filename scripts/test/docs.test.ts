import assert from 'node:assert/strict';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { test } from 'node:test';

const LINK = /\]\((?!https?:|#)([^)#]+)/g;
const TEST_FILE = /`([\w./-]+\.test\.ts)`/g;

const pages = readdirSync('docs', { recursive: true, encoding: 'utf8' })
  .filter((name) => name.endsWith('.md'))
  .map((name) => join('docs', name));

test('every link of the pages leads to a file', () => {
  const broken = ['README.md', 'CONTRIBUTING.md', ...pages].flatMap((page) => (
    [...readFileSync(page, 'utf8').matchAll(LINK)]
      .map(([, path = '']) => path)
      .filter((path) => !existsSync(join(dirname(page), path)))
      .map((path) => `${page}: ${path}`)
  ));
  assert.deepEqual(broken, []);
});

test('every test that docs/PROOF.md names is there', () => {
  const missing = [...readFileSync('docs/PROOF.md', 'utf8').matchAll(TEST_FILE)]
    .map(([, path = '']) => path)
    .filter((path) => !existsSync(path));
  assert.deepEqual(missing, []);
});
