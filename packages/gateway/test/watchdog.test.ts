import assert from 'node:assert/strict';
import { test } from 'node:test';

import findAbandonReason from '@guavayard/core/placement/findAbandonReason';

import GatewayRig from './support/GatewayRig';

const ATTEMPT = {
  ageMs: 1000,
  remainingMs: 4000,
  targetLatencyMs: 400,
  answersProbesAtOnce: true,
  silentProbes: 0,
  canMove: true,
};

const DECISIONS: [string, Partial<typeof ATTEMPT>, ReturnType<typeof findAbandonReason>][] = [
  ['a slow target is given up for a free one', {}, 'stuck'],
  ['a slow target is kept if nothing else can be tried', { canMove: false }, undefined],
  ['a slow target is kept near the deadline', { remainingMs: 300 }, undefined],
  ['a target is kept while it is not slow', { ageMs: 800 }, undefined],
  ['a silent target is given up', { silentProbes: 2, canMove: false }, 'lost'],
  ['a silent target that lets probes wait is kept', { silentProbes: 9, answersProbesAtOnce: false, canMove: false }, undefined],
];

DECISIONS.forEach(async ([name, change, expected]) => test(name, () => {
  assert.equal(findAbandonReason({ ...ATTEMPT, ...change }), expected);
}));

// Guards against a probe that waits for a slot being taken for a lost target: orders got 502.
test('orders outlast the probes that wait for their slots', (t) => {
  const rig = new GatewayRig(t, { timeoutMs: 5000, isIdempotent: false, targetLatencyMs: 400 });
  ['a', 'b', 'c'].forEach((id) => rig.addTarget(id, { isMute: true, workMs: 2500 }));
  const responses = Array.from({ length: 6 }, () => rig.request({ remainingMs: 5000 }));
  rig.run(4000);
  assert.deepEqual(responses.map(({ status }) => status), [200, 200, 200, 200, 200, 200]);
  assert.equal(rig.sender.aborts, 0);
});

// Guards against breaking off a slow request that no other target can take.
test('a slow request is not aborted while all other targets are busy', (t) => {
  const rig = new GatewayRig(t, { timeoutMs: 5000, targetLatencyMs: 400 });
  ['a', 'b', 'c'].forEach((id) => rig.addTarget(id, { workMs: 2500 }));
  const responses = Array.from({ length: 6 }, () => rig.request({ remainingMs: 5000 }));
  rig.run(4000);
  assert.deepEqual(responses.map(({ status }) => status), [200, 200, 200, 200, 200, 200]);
  assert.equal(rig.sender.aborts, 0);
});

// Guards also against probes whose connection has ended by the next check.
[false, true].forEach((closesConnections) => {
  test(`a slow request moves to a target with a free slot${closesConnections ? ' that closes each connection' : ''}`, (t) => {
    const rig = new GatewayRig(t, { timeoutMs: 5000, targetLatencyMs: 400 });
    rig.addTarget('slow', { workMs: 4500, closesConnections });
    const res = rig.request({ remainingMs: 5000 });
    rig.run(100);
    rig.addTarget('good', { closesConnections });
    rig.run(1500);
    assert.deepEqual([res.status, res.body], [200, 'good']);
  });
});

test('targets whose probes wait for slots are neither unreachable nor crashed', (t) => {
  const rig = new GatewayRig(t, { timeoutMs: 5000, isIdempotent: false, targetLatencyMs: 400 });
  ['a', 'b', 'c', 'd'].forEach((id) => rig.addTarget(id, { isMute: true, workMs: 2500 }));
  rig.request();
  rig.run(3000);
  rig.targets.forEach((target) => Object.assign(target, { running: 2 }));
  rig.request({ remainingMs: 1000 });
  rig.run(900);
  assert.equal(rig.pool.paths.isMostlySilent('lots'), false);
  assert.deepEqual(rig.reports, []);
});

test('a reset of a probe is no evidence that the target of a request is lost', (t) => {
  const rig = new GatewayRig(t, { timeoutMs: 5000, isIdempotent: false, targetLatencyMs: 400 });
  const target = rig.addTarget('full', { workMs: 2500 });
  const first = rig.request({ remainingMs: 5000 });
  rig.run(50);
  target.refusesConnections = true;
  rig.run(4000);
  assert.equal(first.status, 200);
});

// Guards against an answer that passes for silence: orders got 502 beside a long response.
test('a target that is sending a response is not silent, although no probe is answered', (t) => {
  const rig = new GatewayRig(t, { timeoutMs: 8000, isIdempotent: false, targetLatencyMs: 400 });
  const target = rig.addTarget('a', { workMs: 50 });
  rig.request();
  rig.run(200);
  Object.assign(target, { bodyBytes: 20 * 64 * 1024, chunkGapMs: 150 });
  const long = rig.request({ remainingMs: 8000 });
  rig.run(100);
  target.workMs = 2500;
  const order = rig.request({ remainingMs: 8000 });
  rig.run(20);
  target.ignoresProbes = true;
  rig.run(7000);
  assert.deepEqual([long.status, order.status, rig.sender.aborts], [200, 200, 0]);
});

// Guards against taking a target for alive by the bytes of a response that has ended.
test('a target that has sent a response and falls silent is given up', (t) => {
  const rig = new GatewayRig(t, { timeoutMs: 8000, isIdempotent: false, targetLatencyMs: 400 });
  const target = rig.addTarget('a', { workMs: 50 });
  rig.request();
  rig.run(200);
  Object.assign(target, { bodyBytes: 4 * 64 * 1024, chunkGapMs: 100 });
  rig.request({ remainingMs: 8000 });
  rig.run(100);
  target.workMs = 7000;
  const order = rig.request({ remainingMs: 8000 });
  rig.run(20);
  target.ignoresProbes = true;
  rig.run(3000);
  assert.equal(order.status, 502);
});

// Guards against cutting a response that the caller receives, in favour of a target that is free.
test('a response that is being forwarded is not given up for another target', (t) => {
  const rig = new GatewayRig(t, { timeoutMs: 5000, targetLatencyMs: 400 });
  const target = rig.addTarget('slow', { workMs: 50, bodyBytes: 20 * 64 * 1024, chunkGapMs: 100 });
  const res = rig.request({ remainingMs: 5000 });
  rig.run(100);
  rig.addTarget('free');
  rig.run(4000);
  assert.deepEqual([res.status, res.body.length], [200, target.bodyBytes]);
  assert.equal(rig.sender.aborts, 0);
});
