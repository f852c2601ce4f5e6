import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { setImmediate as turn } from 'node:timers/promises';

import type DeclaredRoute from '@guavayard/core/registry/DeclaredRoute';

import type FakeResponse from './support/FakeResponse';
import type FakeTarget from './support/FakeTarget';
import GatewayRig from './support/GatewayRig';

/** Time after the send at which a late request is hedged, probes included, in milliseconds. */
const HEDGED_MS = 160;
const FAILURES: readonly FakeTarget['mode'][] = [
  'resets', 'foreign', 'unsigned', 'busy', 'not-run', 'fails', 'unframed',
];

function createRig(t: TestContext, route: Partial<DeclaredRoute> = {}, share = 1): GatewayRig {
  return new GatewayRig(t, { targetLatencyMs: 300, maxAttempts: 2, ...route }, 1000, share);
}

/** Sends a request to a target that turns slow while it runs; another one is free from then on. */
function requestSlow(
  rig: GatewayRig,
  free: Partial<FakeTarget> = {},
  slow: Partial<FakeTarget> = {},
): FakeResponse {
  const target = rig.addTarget('slow', { workMs: 500, ...slow });
  const res = rig.request();
  rig.run(10);
  target.slowness = 5;
  rig.addTarget('free', { workMs: 100, ...free });
  return res;
}

function countHeld(rig: GatewayRig): number {
  return rig.pool.findNearTargets().reduce((sum, { inFlight }) => sum + inFlight.size, 0);
}

test('a request on a target that turned slow is answered in time by a free one', (t) => {
  const rig = createRig(t);
  const res = requestSlow(rig);
  rig.run(280);
  assert.deepEqual([res.status, res.body], [200, 'free']);
  assert.equal(rig.sender.aborts, 1);
  assert.equal(rig.lines[0]?.hedge, 'won');
  assert.deepEqual(
    rig.lines[0].attempts.map(({ target, outcome, isHedge }) => [target, outcome, isHedge]),
    [['slow', 'superseded', undefined], ['free', 'answered 200', true]],
  );
});

// Guards against hedges, and their probes, in deployments that do not ask for them.
test('without a share nothing is hedged and no probe is sent for it', (t) => {
  const probes = [undefined, 0].map((share) => {
    const rig = new GatewayRig(t, { targetLatencyMs: 300 }, 1000, share);
    requestSlow(rig);
    const before = rig.sender.probes;
    rig.run(280);
    assert.deepEqual([rig.sender.sent.length, rig.lines.length], [1, 0]);
    t.mock.timers.reset();
    return rig.sender.probes - before;
  });
  assert.deepEqual(probes, [0, 0]);
});

// Guards against added work where the first attempt is about to end.
test('a late request whose target is at its usual speed is not hedged', (t) => {
  const rig = createRig(t);
  const target = rig.addTarget('late', { workMs: 200 });
  rig.request();
  rig.run(10);
  rig.addTarget('free');
  rig.run(280);
  assert.equal(target.slowness, 1);
  assert.deepEqual([rig.sender.sent.length, rig.lines[0]?.hedge], [1, undefined]);
});

// Guards against waiting for a target that does not tell how slow it is, as it is silent.
test('a request on a target that does not answer its probe is hedged', (t) => {
  const rig = createRig(t);
  const res = requestSlow(rig);
  Object.assign(rig.targets[0] as FakeTarget, { mode: 'silent' });
  rig.run(280);
  assert.deepEqual([res.status, res.body], [200, 'free']);
});

test('a request that only a slow target could take is hedged once another one is free', (t) => {
  const rig = createRig(t);
  const target = rig.addTarget('slow', { slowness: 5 });
  const res = rig.request();
  rig.run(100);
  assert.equal(rig.sender.sent.length, 1);
  rig.addTarget('free', { workMs: 100 });
  rig.run(190);
  assert.equal(target.slowness, 5);
  assert.deepEqual([res.status, res.body], [200, 'free']);
});

test('a hedge that fails or is refused first loses to the attempt that still runs', (t) => {
  FAILURES.forEach((mode) => {
    const rig = createRig(t);
    const res = requestSlow(rig, { mode });
    rig.run(300);
    assert.equal(rig.sender.sent.length, 2, mode);
    assert.equal(res.status, undefined, mode);
    rig.run(300);
    assert.deepEqual([res.status, res.body, rig.lines[0]?.hedge], [200, 'slow', 'lost'], mode);
    t.mock.timers.reset();
  });
});

test('a first attempt that fails loses to its hedge and is not sent again', (t) => {
  FAILURES.forEach((mode) => {
    const rig = createRig(t, { maxAttempts: 3 });
    const res = requestSlow(rig, { workMs: 300 }, { workMs: 200 });
    Object.assign(rig.targets[0] as FakeTarget, { mode });
    rig.run(300);
    assert.deepEqual([rig.sender.sent.length, res.status], [2, undefined], mode);
    rig.run(300);
    assert.deepEqual([res.status, res.body, rig.lines[0]?.hedge], [200, 'free', 'won'], mode);
    assert.equal(rig.sender.sent.length, 2, mode);
    t.mock.timers.reset();
  });
});

test('the caller gets the failure of the last attempt if both fail', (t) => {
  const cases: [FakeTarget['mode'], FakeTarget['mode'], number][] = [
    ['resets', 'resets', 502], ['fails', 'fails', 500], ['not-run', 'not-run', 503],
    // The hedge may have run, so the response must not state that nothing has.
    ['not-run', 'resets', 502],
  ];
  cases.forEach(([slow, free, status]) => {
    const rig = createRig(t);
    const res = requestSlow(rig, { mode: free }, { mode: slow });
    rig.run(600);
    assert.deepEqual([res.status, rig.lines[0]?.hedge], [status, 'failed'], `${slow} ${free}`);
    assert.equal(rig.sender.sent.length, 2);
    t.mock.timers.reset();
  });
});

// Guards against a retry that is lost because a hedge was sent: attempts are left here.
test('a request whose two attempts failed is sent again if the route allows a third', (t) => {
  const rig = createRig(t, { maxAttempts: 3 });
  const res = requestSlow(rig, { mode: 'fails' }, { mode: 'fails' });
  rig.run(HEDGED_MS);
  rig.addTarget('third', { workMs: 100 });
  rig.run(500);
  assert.deepEqual([res.status, res.body, rig.sender.sent.length], [200, 'third', 3]);
});

test('both attempts are aborted when the caller leaves', (t) => {
  const rig = createRig(t);
  const res = requestSlow(rig);
  rig.run(HEDGED_MS);
  assert.deepEqual([rig.sender.sent.length, rig.sender.aborts], [2, 0]);
  res.emit('close');
  assert.equal(rig.sender.aborts, 2);
  assert.equal(countHeld(rig), 0);
});

test('both attempts are aborted at the deadline', (t) => {
  const rig = createRig(t, { timeoutMs: 300 });
  const res = requestSlow(rig, { workMs: 500 });
  rig.run(300);
  assert.deepEqual([res.status, rig.sender.aborts, countHeld(rig)], [504, 2, 0]);
});

// Guards against a new request on a target that has not noticed the abort yet.
test('the slot of the attempt that lost is counted until it is free', (t) => {
  const rig = createRig(t);
  const res = requestSlow(rig);
  for (let ms = 0; res.status === undefined && ms < 300; ms += 1) rig.run(1);
  assert.deepEqual([res.status, rig.sender.aborts, countHeld(rig)], [200, 1, 1]);
  rig.run(100);
  assert.equal(countHeld(rig), 0);
});

// Guards against two responses in one: what was forwarded in part cannot be replaced.
test('a response that is forwarded before it is complete ends the other attempt', (t) => {
  const bodyBytes = 400 * 1024;
  const rig = createRig(t);
  const res = requestSlow(rig, { workMs: 100 }, { workMs: 200, tailMs: 300, bodyBytes });
  rig.run(HEDGED_MS);
  assert.equal(rig.sender.sent.length, 2);
  rig.run(50);
  // The response has begun, and the hedge would end before it.
  assert.deepEqual([res.headersSent, res.endedAtMs, rig.sender.aborts], [true, undefined, 1]);
  rig.run(500);
  assert.deepEqual([res.status, res.body.length, rig.sender.aborts], [200, bodyBytes, 1]);
  assert.ok(res.body.startsWith('slow'));
  assert.equal(rig.lines[0]?.hedge, 'lost');
});

test('a request with a complete body is hedged', async (t) => {
  const rig = createRig(t);
  const target = rig.addTarget('slow', { workMs: 500 });
  const res = rig.request({ body: Buffer.from('text') });
  await turn();
  await turn();
  rig.run(10);
  target.slowness = 5;
  rig.addTarget('free', { workMs: 100 });
  rig.run(280);
  assert.deepEqual([res.status, res.body], [200, 'free']);
});

const LIMITS: [string, string | undefined, (rig: GatewayRig) => void, Partial<DeclaredRoute>?][] = [
  ['on an unsafe route', undefined, requestSlow, { isIdempotent: false }],
  ['that another entry relayed', undefined, (rig) => {
    rig.addTarget('slow', { workMs: 500 });
    rig.relayed();
    rig.run(10);
    Object.assign(rig.targets[0] as FakeTarget, { slowness: 5 });
    rig.addTarget('free');
  }],
  ['without attempts left', 'refused-attempts', requestSlow, { maxAttempts: 1 }],
  ['whose body is incomplete', 'refused-body', (rig) => {
    rig.addTarget('slow', { workMs: 500 });
    rig.request({ headers: { 'content-length': '10' } });
    rig.run(10);
    Object.assign(rig.targets[0] as FakeTarget, { slowness: 5 });
    rig.addTarget('free');
  }],
  ['beyond the part of the retry budget', 'refused-budget', (rig) => {
    rig.pool.setEntries(Array.from({ length: 40 }, (_, index) => (
      { name: `entry-${index}`, region: 'near' })));
    requestSlow(rig);
  }],
  ['while another one waits', 'refused-queue', (rig) => {
    requestSlow(rig, { running: 2 });
    Object.assign(rig.targets[0] as FakeTarget, { running: 2 });
    rig.run(HEDGED_MS - 50);
    rig.request();
  }],
  ['while the service is full', 'refused-target', (rig) => requestSlow(rig, { running: 2 })],
  ['while all targets are slow', 'refused-target', (rig) => requestSlow(rig, { slowness: 5 })],
  ['to another region', 'refused-target', (rig) => requestSlow(rig, { region: 'far' })],
  ['outside the home regions', 'refused-target', (rig) => requestSlow(rig, {}, { region: 'far' }), { homeRegions: ['far'] }],
  ['to an evacuated data centre', 'refused-target', (rig) => {
    requestSlow(rig);
    rig.evacuated.add('near');
    rig.update();
  }],
  ['to a cold target beyond its limit', 'refused-target', (rig) => {
    Object.assign(rig.records, { free: { coldLeftMs: 3000 } });
    const free = rig.addTarget('free', { workMs: 1, coldLeftMs: 3000 });
    Array.from({ length: 12 }).forEach(() => {
      rig.request();
      rig.run(10);
    });
    assert.ok(rig.sender.sent.length < 12);
    rig.lines.splice(0);
    rig.sender.sent.splice(0);
    Object.assign(free, { workMs: 100 });
    rig.addTarget('slow', { workMs: 500 });
    rig.request();
    rig.run(10);
    Object.assign(rig.targets[1] as FakeTarget, { slowness: 5 });
  }],
];

LIMITS.forEach(async ([name, outcome, start, route]) => test(`no hedge is sent ${name}`, (t) => {
  const rig = createRig(t, { timeoutMs: 4000, ...route });
  start(rig);
  rig.run(HEDGED_MS + 100);
  assert.deepEqual(rig.sender.sent.map(({ target }) => target.id), ['slow']);
  rig.run(1000);
  const line = rig.lines.find(({ attempts }) => attempts[0]?.target === 'slow');
  assert.equal(line?.hedge, outcome);
}));

// Guards against hedges in advance of the requests that earn them.
test('no hedge is sent beyond the share of the requests', (t) => {
  const rig = createRig(t, {}, 0.5);
  requestSlow(rig);
  rig.run(700);
  assert.deepEqual([rig.sender.sent.length, rig.lines[0]?.hedge], [1, 'refused-share']);
  Object.assign(rig.targets[0] as FakeTarget, { slowness: 1 });
  Object.assign(rig.targets[1] as FakeTarget, { running: 2 });
  const res = rig.request();
  rig.run(10);
  Object.assign(rig.targets[0] as FakeTarget, { slowness: 5 });
  Object.assign(rig.targets[1] as FakeTarget, { running: 0 });
  rig.run(280);
  assert.deepEqual([res.status, res.body, rig.sender.sent.length], [200, 'free', 3]);
});
