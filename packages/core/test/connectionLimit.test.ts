import assert from 'node:assert/strict';
import { test } from 'node:test';

import connectionLimits from '../src/connections/connectionLimits';
import findConnectionLimit from '../src/connections/findConnectionLimit';

const { maxPerTarget, smallShare, keptForProbes } = connectionLimits;
const MANY_SLOTS = 1000;

// Guards against a limit for all targets: one with free slots was given no more than 16 requests.
test('one entry may use the connections that a target accepts, except that of its probes', () => {
  const limitOf = (accepted: number): number => (
    findConnectionLimit({ accepted, slots: MANY_SLOTS, entryCount: 1 }));
  assert.equal(limitOf(100), 100 - keptForProbes);
  assert.equal(limitOf(10 * maxPerTarget), maxPerTarget - keptForProbes);
});

// Guards against entries that together open more connections than a target accepts.
[2, 18, 132, 141, 311].forEach((entryCount) => {
  test(`${entryCount} entries together stay within the connections that a target accepts`, () => {
    [2 * entryCount, 260, 1060, 2400].filter((accepted) => accepted >= 2 * entryCount)
      .forEach((accepted) => {
        const limit = findConnectionLimit({ accepted, slots: accepted, entryCount });
        assert.ok(limit >= 1 && entryCount * (limit + keptForProbes) <= accepted, `${limit} of ${accepted}`);
      });
  });
});

// Guards against free slots that no entry may fill, as each could open a connection at once.
test('an entry may fill the slots of a target that accepts twice as many connections', () => {
  assert.equal(findConnectionLimit({ accepted: 100, slots: 8, entryCount: 311 }), 8);
  assert.equal(findConnectionLimit({ accepted: 260, slots: 4, entryCount: 141 }), 4);
  assert.equal(findConnectionLimit({ accepted: 8, slots: 8, entryCount: 4 }), 2 - keptForProbes);
});

test('an entry may send one request at a time where a target accepts too few connections', () => {
  assert.equal(findConnectionLimit({ accepted: 1, slots: 4, entryCount: 18 }), 1);
});

test('an entry that does not know the others opens few connections', () => {
  const few = smallShare - keptForProbes;
  assert.equal(findConnectionLimit({ accepted: 260, slots: 200, entryCount: undefined }), few);
  assert.equal(findConnectionLimit({ accepted: 8, slots: 200, entryCount: undefined }), 7);
  assert.equal(findConnectionLimit({ accepted: undefined, slots: 4, entryCount: 18 }), few);
});
