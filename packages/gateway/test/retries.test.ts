import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';

import type DeclaredRoute from '@guavayard/core/registry/DeclaredRoute';

import GatewayRig from './support/GatewayRig';

/** Number of entries with which each has one retry. */
const ENTRIES = 40;

function createRig(t: TestContext, route: Partial<DeclaredRoute> = {}): GatewayRig {
  const rig = new GatewayRig(t, route);
  rig.pool.setEntries(Array.from({ length: ENTRIES }, (_, index) => (
    { name: `entry-${index}`, region: 'near' })));
  rig.addTarget('a', { mode: 'not-run', workMs: 1 });
  return rig;
}

// Guards against a budget that other requests lose to retries that were never sent.
test('a request that finds no other target takes nothing from the retry budget', (t) => {
  const rig = createRig(t);
  const res = rig.request();
  rig.run(100);
  assert.deepEqual([res.status, rig.sender.sent.length], [503, 1]);
  assert.equal(rig.placement.mayRetry('lots'), true);
});

// Guards against repeats beyond the budget by entries that hand a request on one after the other.
test('a relayed request that a target refused counts in the retry budget', (t) => {
  const rig = createRig(t);
  assert.equal(rig.placement.mayRetry('lots'), true);
  rig.relayed();
  rig.run(100);
  assert.equal(rig.sender.sent.length, 1);
  assert.equal(rig.placement.mayRetry('lots'), false);
  assert.equal(rig.placement.refusedRetries, 0);
  rig.relayed();
  rig.run(100);
  assert.equal(rig.placement.refusedRetries, 1);
  rig.run(10_100);
  assert.equal(rig.placement.mayRetry('lots'), true);
});

// Guards against more arrivals in a window than the budget, by retries that have waited.
test('a retry that waits for a target counts from when it is sent', (t) => {
  const rig = createRig(t, { timeoutMs: 4000, targetLatencyMs: 4000 });
  const other = rig.addTarget('b', { running: 2 });
  const res = rig.request();
  rig.run(1000);
  assert.equal(rig.sender.sent.length, 1);
  assert.equal(rig.placement.mayRetry('lots'), false);
  other.running = 0;
  rig.run(500);
  assert.deepEqual([res.body, rig.sender.sent.length], ['b', 2]);
  rig.run(9000);
  assert.equal(rig.placement.mayRetry('lots'), false);
  rig.run(1500);
  assert.equal(rig.placement.mayRetry('lots'), true);
});
