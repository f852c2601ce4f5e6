import assert from 'node:assert/strict';
import { test } from 'node:test';

import assignSubsets from '../src/subsetting/assignSubsets';
import calculateConnectionShare from '../src/subsetting/calculateConnectionShare';

const CONNECTION_LIMIT = 260;

function createTargets(count: number, slots: number): {
  id: string; slots: number; connectionLimit: number;
}[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `listing-${index}`, slots, connectionLimit: CONNECTION_LIMIT,
  }));
}

function createEntries(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `entry-${index}`);
}

function countOf(subsets: Map<string, Set<string>>, entryName: string): number {
  return [...subsets.values()].filter((users) => users.has(entryName)).length;
}

const sizes = [
  { entries: 18, targets: 24, slots: 2 },
  { entries: 19, targets: 20, slots: 4 },
  { entries: 100, targets: 36, slots: 4 },
  { entries: 250, targets: 12, slots: 4 },
  { entries: 250, targets: 3, slots: 16 },
  { entries: 250, targets: 1, slots: 16 },
];

sizes.forEach(({ entries, targets, slots }) => {
  test(`${entries} entries share ${targets} targets of ${slots} slots within the connection limit`, () => {
    const names = createEntries(entries);
    const all = createTargets(targets, slots);
    const subsets = assignSubsets(all, names);
    all.forEach((target) => {
      const users = subsets.get(target.id)?.size ?? 0;
      assert.ok(users > 0);
      assert.ok(users * calculateConnectionShare(target, users) <= CONNECTION_LIMIT);
    });
    const counts = names.map((name) => countOf(subsets, name));
    assert.ok(Math.min(...counts) >= Math.min(2, targets));
  });
});

test('every entry uses every target if the connection limit allows it', () => {
  const names = createEntries(19);
  const subsets = assignSubsets(createTargets(24, 4), names);
  assert.ok(names.every((name) => countOf(subsets, name) === 24));
});

test('targets are spread evenly over the entries', () => {
  const names = createEntries(250);
  const subsets = assignSubsets(createTargets(36, 4), names);
  const counts = names.map((name) => countOf(subsets, name));
  const mean = counts.reduce((sum, count) => sum + count) / counts.length;
  // Twice the three standard deviations of independent random draws.
  assert.ok(Math.max(...counts) < mean + 6 * Math.sqrt(mean));
});

test('losing an entry changes few other assignments', () => {
  const names = createEntries(250);
  const targets = createTargets(36, 4);
  const before = assignSubsets(targets, names);
  const after = assignSubsets(targets, names.slice(1));
  targets.forEach(({ id }) => {
    const left = before.get(id) ?? new Set();
    const right = after.get(id) ?? new Set();
    const gained = [...right].filter((name) => !left.has(name)).length;
    const lost = [...left].filter((name) => !right.has(name)).length;
    assert.ok(gained <= 1 && lost <= 1, `${id}: ${gained} gained, ${lost} lost`);
  });
});
