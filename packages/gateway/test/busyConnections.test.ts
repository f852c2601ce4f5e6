import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';

import GatewayRig from './support/GatewayRig';

/** Connections to a target that may carry requests; it accepts one more. */
const CONNECTIONS = 16;
const WORK_MS = 400;

/** @returns an entry whose targets accept few connections */
function createRig(t: TestContext, targetLatencyMs: number): GatewayRig {
  const rig = new GatewayRig(t, { targetLatencyMs, timeoutMs: 5000 });
  rig.connectionLimit = CONNECTIONS + 1;
  return rig;
}

/** Sends requests that take all connections to the target `a`, and some more. */
function sendBeyond(rig: GatewayRig, more: number): ReturnType<GatewayRig['request']>[] {
  rig.request();
  rig.run(300);
  rig.targets.forEach((target) => Object.assign(target, { workMs: WORK_MS }));
  return Array.from({ length: CONNECTIONS + more }, () => {
    const res = rig.request();
    rig.run(5);
    return res;
  });
}

// Guards against requests that wait behind others at their target, sent long after they were given.
test('requests for which a target has no connection left wait in the entry', (t) => {
  const rig = createRig(t, 1500);
  rig.addTarget('a', { slots: 64, workMs: 50 });
  const responses = sendBeyond(rig, 3);
  assert.equal(rig.placement.waitingFor('lots'), 3);
  rig.run(1000);
  assert.deepEqual(responses.map(({ status }) => status), responses.map(() => 200));
  assert.equal(rig.sender.unsent, 0);
});

// Guards against requests that were taken for sent and reached a target after it had left.
test('requests that wait for a connection go to another target once theirs is draining', (t) => {
  const rig = createRig(t, 1500);
  rig.addTarget('a', { slots: 64, workMs: 50 });
  const responses = sendBeyond(rig, 3);
  rig.records.a = { state: 'draining' };
  const sentToFirst = rig.sender.sent.length;
  rig.addTarget('b');
  rig.run(1000);
  const late = rig.sender.sent.slice(sentToFirst).map(({ target }) => target.id);
  assert.deepEqual(late, ['b', 'b', 'b']);
  assert.deepEqual(responses.map(({ status }) => status), responses.map(() => 200));
});

// Guards against breaking off a slow request for a target that has no connection left for it.
test('a slow request is not moved to a target whose connections are all in use', (t) => {
  const rig = createRig(t, 400);
  rig.addTarget('slow', { slots: 1, workMs: 2500 });
  const slow = rig.request({ remainingMs: 5000 });
  rig.run(100);
  rig.addTarget('busy', { slots: 64, workMs: 2500 });
  for (let count = 0; count < CONNECTIONS; count += 1) {
    rig.request({ remainingMs: 5000 });
    rig.run(5);
  }
  rig.run(4000);
  assert.deepEqual([slow.status, slow.body], [200, 'slow']);
  assert.deepEqual([rig.sender.aborts, rig.sender.unsent], [0, 0]);
});
