import assert from 'node:assert/strict';
import { test } from 'node:test';

import type FakeTarget from './support/FakeTarget';
import GatewayRig from './support/GatewayRig';

const SLOTS = 20;
const COLD_MS = 3000;
/** Requests a second that all entries may send to the cold target: 2 times 1.5, and 5 more. */
const LIMIT = 8;
/** Time until the entry has its share of the limit, in milliseconds. */
const SETTLE_MS = 5000;
const WINDOW_MS = 1000;
const STEP_MS = 20;
const DENSE_STEP_MS = 4;
/** Longest time between two probes of a target in use while there is budget, in milliseconds. */
const FRESH_PROBE_MS = 100;
/** Time within which what is sent lies in one window of the limit, in milliseconds. */
const WATCH_MS = 450;
const PROBES_PER_SECOND = 4;

function countSends(rig: GatewayRig, target: FakeTarget): number {
  return rig.sender.sent.filter((sent) => sent.target === target).length;
}

/** Sends a request every few milliseconds. */
function press(rig: GatewayRig, ms: number, stepMs = STEP_MS): void {
  for (let passedMs = 0; passedMs < ms; passedMs += stepMs) {
    rig.pool.observeTime();
    rig.request();
    rig.run(stepMs);
  }
}

// Guards against requests that reach a new process before a probe tells that it is cold.
test('requests do not follow a target that starts again in place', (t) => {
  const rig = new GatewayRig(t, {}, PROBES_PER_SECOND);
  const target = rig.addTarget('a', { slots: SLOTS, workMs: 5 });
  press(rig, SETTLE_MS);
  const before = countSends(rig, target);
  assert.ok(before > LIMIT, `${before} requests`);
  rig.prober.giveUp(PROBES_PER_SECOND);
  rig.sender.restart(target, { coldLeftMs: COLD_MS });
  press(rig, WATCH_MS);
  const after = countSends(rig, target) - before;
  assert.ok(after <= LIMIT, `${after} requests`);
  press(rig, WINDOW_MS);
  assert.ok(countSends(rig, target) > before + after, 'it gets requests again');
});

// Guards against an announcement that makes an entry forget its sends and send its share again.
[
  { name: 'that is registered as started again', isWithdrawn: false },
  { name: 'that leaves and registers again', isWithdrawn: true },
].forEach(({ name, isWithdrawn }) => {
  test(`sends of the last second count for a target ${name}`, (t) => {
    const rig = new GatewayRig(t);
    const target = rig.addTarget('a', { slots: SLOTS, workMs: 5, coldLeftMs: COLD_MS });
    press(rig, SETTLE_MS);
    rig.run(WINDOW_MS);
    const before = countSends(rig, target);
    press(rig, WATCH_MS);
    assert.ok(countSends(rig, target) - before > LIMIT / 2, 'it has been sent requests');
    if (isWithdrawn) rig.withdraw();
    rig.records.a = { bornAtMs: 2, coldLeftMs: COLD_MS };
    rig.update();
    press(rig, WATCH_MS);
    const sent = countSends(rig, target) - before;
    assert.ok(sent <= LIMIT, `${sent} requests`);
  });
});

// Guards against targets without a kept connection that never count as known.
test('a target that closes every connection is served', (t) => {
  const rig = new GatewayRig(t);
  rig.addTarget('a', { closesConnections: true });
  const responses = Array.from({ length: 20 }, () => {
    const res = rig.request();
    rig.run(250);
    return res;
  });
  assert.ok(responses.every(({ status }) => status === 200));
});

// Guards against budgets that are too small for a single probe, so that nothing is ever sent.
test('a target is served while the budget of probes is a fraction of one a second', (t) => {
  const rig = new GatewayRig(t, {}, 1);
  rig.addTarget('a', { workMs: 5 });
  rig.request();
  rig.run(100);
  const res = rig.request();
  rig.run(100);
  assert.equal(res.status, 200);
});

// Guards against requests that wait for one probe each where many entries share the budget.
test('requests that come at once are served while the budget allows few probes', (t) => {
  const rig = new GatewayRig(t, {}, 60);
  const entries = Array.from({ length: 311 }, (_, index) => ({ name: `entry-${index + 1}`, region: 'near' }));
  rig.pool.setEntries(entries);
  for (let index = 0; index < 4; index += 1) rig.addTarget(`t-${index}`, { slots: 8 });
  const responses = Array.from({ length: 12 }, () => rig.request());
  rig.run(1000);
  assert.deepEqual(responses.map(({ status }) => status), responses.map(() => 200));
});

// Guards against requests that follow a target that has no connection to tell of its end.
test('requests do not follow a target that closes every connection and starts again', (t) => {
  const rig = new GatewayRig(t, {}, 60);
  const target = rig.addTarget('a', { slots: SLOTS, workMs: 5, closesConnections: true });
  press(rig, SETTLE_MS);
  const before = countSends(rig, target);
  assert.ok(before > LIMIT, `${before} requests`);
  rig.sender.restart(target, { coldLeftMs: COLD_MS });
  press(rig, WATCH_MS);
  const after = countSends(rig, target) - before;
  assert.ok(after <= LIMIT, `${after} requests`);
});

// Guards against targets that became cold while they were evacuated, and are still taken for warm.
test('a target whose evacuation has ended is probed before it gets a request', (t) => {
  const rig = new GatewayRig(t, {}, PROBES_PER_SECOND);
  const target = rig.addTarget('a', { slots: SLOTS, workMs: 5 });
  press(rig, SETTLE_MS);
  rig.evacuated = new Set(['near']);
  rig.update();
  press(rig, WINDOW_MS);
  const before = countSends(rig, target);
  target.coldLeftMs = COLD_MS;
  rig.prober.giveUp(PROBES_PER_SECOND);
  rig.evacuated = new Set();
  rig.update();
  press(rig, WATCH_MS);
  const after = countSends(rig, target) - before;
  assert.ok(after <= LIMIT, `${after} requests`);
});

// Guards against responses to requests that keep an entry from probing a target that is cold again.
test('a target that becomes cold under dense traffic is probed soon', (t) => {
  const rig = new GatewayRig(t);
  const target = rig.addTarget('a', { slots: SLOTS, workMs: 1 });
  press(rig, SETTLE_MS, DENSE_STEP_MS);
  const before = countSends(rig, target);
  target.coldLeftMs = COLD_MS;
  press(rig, WATCH_MS, DENSE_STEP_MS);
  const probed = countSends(rig, target) - before;
  assert.ok(probed <= FRESH_PROBE_MS / DENSE_STEP_MS + LIMIT, `${probed} requests`);
});

// Guards against a record of control that shortens what a probe has told since.
test('control does not shorten the time for which a target is known to be cold', (t) => {
  const rig = new GatewayRig(t);
  rig.addTarget('a', { slots: SLOTS, workMs: 5, coldLeftMs: COLD_MS });
  press(rig, SETTLE_MS);
  rig.records.a = { sequence: 2, coldLeftMs: 1 };
  rig.update();
  rig.run(STEP_MS);
  assert.deepEqual(rig.pool.findEligible('lots', undefined, []), [], 'its limit is used up');
});
