import assert from 'node:assert/strict';
import { test } from 'node:test';

import hashTargetId from '../src/scheduling/hashTargetId';
import packLoads from '../src/scheduling/packLoads';
import unpackLoads from '../src/scheduling/unpackLoads';

test('packed loads are unpacked unchanged, with counts capped at the range', () => {
  const loads = [0, 1, 2, 63, 64, 1000].map((inFlight) => ({
    hash: hashTargetId(`target-${inFlight}`), inFlight,
  }));
  const expected = loads.map(({ hash, inFlight }) => ({ hash, inFlight: Math.min(63, inFlight) }));
  assert.deepEqual(unpackLoads(packLoads(loads)), expected);
});

test('a truncated last count is ignored', () => {
  const report = packLoads([{ hash: 5, inFlight: 1 }, { hash: 6, inFlight: 2 }]);
  assert.deepEqual(unpackLoads(report.subarray(0, 5)), [{ hash: 5, inFlight: 1 }]);
});

test('hashes of 1,300 similar target ids rarely collide', () => {
  const hashes = Array.from({ length: 1300 }, (_unused, index) => hashTargetId(`listing-${index}`));
  assert.ok(new Set(hashes).size >= 1290);
});
