import assert from 'node:assert/strict';
import { test } from 'node:test';

import connectionLimits from '../src/connections/connectionLimits';
import findConnectionLimit from '../src/connections/findConnectionLimit';

const { maxPerTarget, unknownShare, keptForProbes } = connectionLimits;

// Guards against a limit for all targets: one with free slots was given no more than 16 requests.
test('one entry may use the connections that a target accepts, except that of its probes', () => {
  assert.equal(findConnectionLimit(100, 1), 100 - keptForProbes);
  assert.equal(findConnectionLimit(10 * maxPerTarget, 1), maxPerTarget - keptForProbes);
});

// Guards against entries that together open more connections than a target accepts.
[2, 18, 132, 141, 311].forEach((entryCount) => {
  test(`${entryCount} entries together stay within the connections that a target accepts`, () => {
    [2 * entryCount, 260, 1060, 2400].filter((accepted) => accepted >= 2 * entryCount)
      .forEach((accepted) => {
        const limit = findConnectionLimit(accepted, entryCount);
        assert.ok(limit >= 1 && entryCount * (limit + keptForProbes) <= accepted, `${limit} of ${accepted}`);
      });
  });
});

test('an entry may send one request at a time where a target accepts too few connections', () => {
  assert.equal(findConnectionLimit(1, 18), 1);
});

test('an entry that does not know the others opens few connections', () => {
  assert.equal(findConnectionLimit(260, undefined), unknownShare - keptForProbes);
  assert.equal(findConnectionLimit(undefined, 18), unknownShare - keptForProbes);
  assert.equal(findConnectionLimit(8, undefined), 8 - keptForProbes);
});
