import assert from 'node:assert/strict';
import { test } from 'node:test';

import hashTargetId from '../src/scheduling/hashTargetId';
import packLoads from '../src/scheduling/packLoads';
import unpackLoads from '../src/scheduling/unpackLoads';

test('packed loads come back, counts above the range as its end', () => {
  const loads = [0, 1, 2, 63, 64, 1000].map((inFlight) => ({
    hash: hashTargetId(`target-${inFlight}`), inFlight,
  }));
  const expected = loads.map(({ hash, inFlight }) => ({ hash, inFlight: Math.min(63, inFlight) }));
  assert.deepEqual(unpackLoads(packLoads(loads)), expected);
});

test('an incomplete last count is left out', () => {
  const report = packLoads([{ hash: 5, inFlight: 1 }, { hash: 6, inFlight: 2 }]);
  assert.deepEqual(unpackLoads(report.subarray(0, 5)), [{ hash: 5, inFlight: 1 }]);
});

test('1,300 targets of similar names collide rarely', () => {
  const hashes = Array.from({ length: 1300 }, (_unused, index) => hashTargetId(`listing-${index}`));
  assert.ok(new Set(hashes).size >= 1290);
});
