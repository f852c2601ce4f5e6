import assert from 'node:assert/strict';
import { test } from 'node:test';

import CallerPatience from '../src/placement/CallerPatience';

test('a caller that comes again tells by the rest of its time how long it has waited', () => {
  const patience = new CallerPatience();
  assert.equal(patience.note('lots', 4000), 0);
  assert.ok(Math.abs(patience.note('lots', 1500) - 2500) <= 4);
  assert.equal(patience.note('holds', 1500), 0);
});

test('a rare long patience is forgotten, a returning crowd is not mistaken for the usual', () => {
  const patience = new CallerPatience();
  patience.note('lots', 4000);
  const crowd = Array.from({ length: 100 }, () => patience.note('lots', 1500));
  assert.ok(crowd.every((waitedMs) => waitedMs > 2000));
  patience.note('lots', 60_000);
  for (let count = 0; count < 3000; count += 1) patience.note('lots', 4000);
  assert.ok(patience.note('lots', 4000) < 600);
});
