import assert from 'node:assert/strict';
import { test } from 'node:test';

import findWorstRepeats from '../src/findWorstRepeats';

const BOUNDS = { ratio: 0.5, slack: 1, windowMs: 10 };

function arrive(...pairs: [string, number][]): { id: string; atMs: number }[] {
  return pairs.map(([id, atMs]) => ({ id, atMs }));
}

test('only arrivals beyond the first of each request are counted', () => {
  const arrivals = arrive(['a', 0], ['b', 1], ['a', 2], ['a', 3]);
  assert.deepEqual(findWorstRepeats([0, 1], arrivals, BOUNDS), { repeats: 2, allowed: 2 });
});

test('arrivals are counted in the window in which they are the most', () => {
  const arrivals = arrive(['a', 0], ['a', 1], ['a', 12], ['a', 13], ['a', 21.9], ['a', 22.1]);
  assert.equal(findWorstRepeats([0], arrivals, BOUNDS).repeats, 3);
});

test('requests of the window before and of half a window before count, too', () => {
  const atTen = arrive(...Array.from({ length: 6 }, (): [string, number] => ['a', 10]));
  const around = [...atTen, ...arrive(...Array.from({ length: 6 }, (): [string, number] => ['a', 19.9]))];
  assert.deepEqual(findWorstRepeats([0, 0, 0, 0], atTen, BOUNDS), { repeats: 5, allowed: 3 });
  assert.deepEqual(findWorstRepeats([6, 6, 18, 18], atTen, BOUNDS), { repeats: 5, allowed: 2 });
  assert.deepEqual(findWorstRepeats([17, 17], atTen, BOUNDS), { repeats: 5, allowed: 1 });
  assert.deepEqual(findWorstRepeats([8, 8, 12, 12], around, BOUNDS), { repeats: 11, allowed: 3 });
});
