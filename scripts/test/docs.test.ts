import assert from 'node:assert/strict';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { test } from 'node:test';

import createDocTables from '../docs/createDocTables';
import fillDocTable from '../docs/fillDocTable';
import listSettings from '../docs/listSettings';

const LINK = /\]\((?!https?:|#)([^)#]+)/g;
const TEST_FILE = /`([\w./-]+\.test\.ts)`/g;

const pages = readdirSync('docs', { recursive: true, encoding: 'utf8' })
  .filter((name) => name.endsWith('.md'))
  .map((name) => join('docs', name));

// Indexes of pages are not compared: a page and its index entry may be committed separately, and
// the link check covers them.
const indexes = ['designs', 'operations'];

createDocTables().filter(({ name }) => !indexes.includes(name)).forEach((table) => {
  test(`${table.page}: table ${table.name} matches the code (update with npm run docs)`, () => {
    const text = readFileSync(table.page, 'utf8');
    assert.equal(text, fillDocTable(text, table));
  });
});

test('every setting has a description', () => {
  const undescribed = listSettings().filter((row) => row.description === '').map((row) => row.key);
  assert.deepEqual(undescribed, []);
});

test('every relative link in the pages points to an existing file', () => {
  const broken = ['README.md', 'CONTRIBUTING.md', ...pages].flatMap((page) => (
    [...readFileSync(page, 'utf8').matchAll(LINK)]
      .map(([, path = '']) => path)
      .filter((path) => !existsSync(join(dirname(page), path)))
      .map((path) => `${page}: ${path}`)
  ));
  assert.deepEqual(broken, []);
});

test('every test file named in docs/PROOF.md exists', () => {
  const missing = [...readFileSync('docs/PROOF.md', 'utf8').matchAll(TEST_FILE)]
    .map(([, path = '']) => path)
    .filter((path) => !existsSync(path));
  assert.deepEqual(missing, []);
});
