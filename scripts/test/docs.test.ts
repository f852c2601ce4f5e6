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

// The lists of pages are kept by the check of links: a page may land apart from its line in them.
const lists = ['designs', 'operations'];

createDocTables().filter(({ name }) => !lists.includes(name)).forEach((table) => {
  test(`${table.page} has the table ${table.name} as the code has it (npm run docs)`, () => {
    const text = readFileSync(table.page, 'utf8');
    assert.equal(text, fillDocTable(text, table));
  });
});

test('every setting is described', () => {
  const bare = listSettings().filter((row) => row.description === '').map((row) => row.key);
  assert.deepEqual(bare, []);
});

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
