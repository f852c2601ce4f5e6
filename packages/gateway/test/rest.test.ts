import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';

import GatewayRig from './support/GatewayRig';

const REST_MS = 6000;

function createRig(t: TestContext, resting: number, others: number): GatewayRig {
  const rig = new GatewayRig(t);
  for (let index = 0; index < resting; index += 1) {
    rig.addTarget(`resting-${index}`, { mode: 'not-run', restMs: REST_MS });
  }
  for (let index = 0; index < others; index += 1) rig.addTarget(`other-${index}`);
  return rig;
}

/** Sends requests at a steady rate. */
function send(rig: GatewayRig, ms: number, eachMs: number): ReturnType<GatewayRig['request']>[] {
  return Array.from({ length: ms / eachMs }, () => {
    const res = rig.request();
    rig.run(eachMs);
    return res;
  });
}

test('a target that asks for time gets neither requests nor probes in it', (t) => {
  const rig = createRig(t, 1, 0);
  rig.request();
  rig.run(300);
  const { probes } = rig.sender;
  assert.equal(rig.sender.sent.length, 1);
  send(rig, REST_MS - 300, 50);
  assert.deepEqual([rig.sender.sent.length, rig.sender.probes], [1, probes]);
});

test('callers are refused at once and told when the first target returns', (t) => {
  const rig = createRig(t, 2, 0);
  rig.request();
  rig.run(500);
  const res = rig.request();
  assert.equal(res.status, 503);
  const retryAfterMs = Number(res.headers['retry-after']);
  assert.ok(retryAfterMs > REST_MS - 1000 && retryAfterMs < 1.3 * REST_MS, `${retryAfterMs}`);
});

test('a caller whose last attempt was refused is told so, too', (t) => {
  const rig = createRig(t, 2, 0);
  const res = rig.request();
  rig.run(500);
  assert.equal(res.status, 503);
  assert.ok(Number(res.headers['retry-after']) > REST_MS - 1000);
});

test('the others serve while a target rests', (t) => {
  const rig = createRig(t, 1, 3);
  const responses = send(rig, 4000, 50);
  rig.run(1000);
  assert.ok(responses.every(({ status }) => status === 200));
  assert.ok(rig.sender.sent.filter(({ target }) => target.id === 'resting-0').length <= 2);
});

test('a target that returns gets one request, and its share once it has served it', (t) => {
  const rig = createRig(t, 1, 0);
  const [target] = rig.targets;
  rig.request();
  rig.run(300);
  Object.assign(target ?? {}, { mode: 'answers', workMs: 400 });
  rig.run(REST_MS + 500);
  const before = rig.sender.sent.length;
  rig.request();
  rig.request();
  rig.run(100);
  assert.equal(rig.sender.sent.length, before + 1);
  rig.run(1000);
  rig.request();
  rig.request();
  rig.run(100);
  assert.equal(target?.running, 2);
});

test('another incarnation of the target has asked for nothing', (t) => {
  const rig = createRig(t, 1, 0);
  rig.request();
  rig.run(300);
  Object.assign(rig.targets[0] ?? {}, { mode: 'answers' });
  rig.records['resting-0'] = { bornAtMs: 2 };
  rig.update();
  const res = rig.request();
  rig.run(400);
  assert.equal(res.status, 200);
});

test('a target that is about to leave gets no more requests, and control is told once', (t) => {
  (['requests', 'all'] as const).forEach((leaving) => {
    const rig = new GatewayRig(t);
    const target = rig.addTarget('leaving', { leaving });
    rig.addTarget('other');
    const responses = send(rig, 3000, 100);
    rig.run(1000);
    assert.ok(responses.every(({ status }) => status === 200));
    assert.ok(rig.sender.sent.filter((sent) => sent.target === target).length <= 2);
    assert.deepEqual(rig.leavingIds, ['leaving']);
    t.mock.timers.reset();
  });
});

test('only a probe withdraws what probes have said about leaving', (t) => {
  const rig = new GatewayRig(t);
  rig.addTarget('leaving');
  const [target] = rig.pool.findEligible('lots', undefined, []);
  assert.ok(target !== undefined);
  rig.pool.notices.recordLeaving(target, true, 'request');
  rig.pool.notices.recordLeaving(target, false, 'probe');
  assert.equal(rig.pool.findEligible('lots', undefined, []).length, 0);
  rig.pool.notices.recordLeaving(target, true, 'probe');
  rig.pool.notices.recordLeaving(target, false, 'request');
  assert.equal(rig.pool.findEligible('lots', undefined, []).length, 0);
  rig.pool.notices.recordLeaving(target, false, 'probe');
  assert.equal(rig.pool.findEligible('lots', undefined, []).length, 1);
});
