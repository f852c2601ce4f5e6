import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';

import GatewayRig from './support/GatewayRig';

const CRASH_CHECK_MS = 600;

function createRig(t: TestContext): GatewayRig {
  const rig = new GatewayRig(t);
  Array.from({ length: 8 }, (_, index) => rig.addTarget(`t${index}`, { mode: 'crashes' }));
  return rig;
}

test('a request that crashed its targets is refused when it is sent again', (t) => {
  const rig = createRig(t);
  const [first, second] = [0, 1].map(() => {
    const res = rig.request();
    rig.run(CRASH_CHECK_MS + 400);
    return res;
  });
  const sent = rig.sender.sent.length;
  assert.ok(sent >= 3, `sent ${sent} times`);
  assert.deepEqual([first?.status, second?.status], [502, 502]);
  assert.equal(rig.reports.length, sent);
  const third = rig.request();
  rig.run(100);
  assert.deepEqual([third.status, rig.sender.sent.length], [503, sent]);
});

// Guards against requests that go on to crash targets as these had begun their responses.
[
  { name: 'of which nothing was sent to the caller', bodyBytes: 1000 },
  { name: 'that was being streamed to the caller', bodyBytes: 2 * 1024 * 1024 },
].forEach(({ name, bodyBytes }) => {
  test(`a request that crashed its targets within a response ${name} is refused`, (t) => {
    const rig = new GatewayRig(t);
    Array.from({ length: 8 }, (_, index) => rig.addTarget(`t${index}`, { mode: 'crashes late', bodyBytes }));
    for (let count = 0; count < 8; count += 1) {
      rig.request();
      rig.run(CRASH_CHECK_MS + 400);
    }
    // As many as if the targets crashed before the response.
    assert.ok(rig.sender.sent.length <= 4, `sent ${rig.sender.sent.length} times`);
    assert.equal(rig.reports.length, rig.sender.sent.length);
  });
});

test('a target that breaks off responses but stays alive has not crashed', (t) => {
  const rig = new GatewayRig(t);
  const targets = Array.from({ length: 8 }, (_, index) => rig.addTarget(`t${index}`));
  for (let count = 0; count < 4; count += 1) {
    targets.forEach((target) => Object.assign(target, { mode: 'crashes late' }));
    rig.request();
    rig.run(240);
    targets.forEach((target) => Object.assign(target, { mode: 'answers' }));
    rig.run(CRASH_CHECK_MS + 400);
  }
  assert.deepEqual(rig.reports, []);
  const res = rig.request();
  rig.run(1000);
  assert.equal(res.status, 200);
});

test('a request whose crashes other entries reported is refused', (t) => {
  const rig = createRig(t);
  rig.request();
  rig.run(CRASH_CHECK_MS + 400);
  const [fingerprint = ''] = rig.reports;
  const sent = rig.sender.sent.length;
  rig.crashes.recordReportedCrash(fingerprint);
  const res = rig.request();
  rig.run(100);
  assert.deepEqual([res.status, rig.sender.sent.length], [503, sent]);
});

test('a not-run response does not clear a request of crashes', (t) => {
  const rig = createRig(t);
  rig.request();
  rig.run(CRASH_CHECK_MS + 400);
  const [fingerprint = ''] = rig.reports;
  const modes = rig.targets.map(({ mode }) => mode);
  rig.targets.forEach((target) => Object.assign(target, { mode: 'not-run' }));
  assert.equal(rig.crashes.isQuarantined(fingerprint), false);
  rig.request();
  rig.run(1000);
  rig.targets.forEach((target, index) => Object.assign(target, { mode: modes[index] }));
  rig.crashes.recordReportedCrash(fingerprint);
  const sent = rig.sender.sent.length;
  const res = rig.request();
  rig.run(100);
  assert.deepEqual([res.status, rig.sender.sent.length], [503, sent]);
});

test('requests with other fingerprints than the crashing one are served', (t) => {
  const rig = createRig(t);
  for (let count = 0; count < 2; count += 1) {
    rig.request();
    rig.run(CRASH_CHECK_MS + 400);
  }
  rig.targets.forEach((target) => Object.assign(target, { mode: 'answers' }));
  rig.run(10_000);
  const others = [rig.request({ caller: '10.9.0.2' }), rig.request({ path: '/lots/2' })];
  rig.run(1000);
  assert.deepEqual(others.map(({ status }) => status), [200, 200]);
});

test('a reset by a target that stays alive is not a crash', (t) => {
  const rig = new GatewayRig(t);
  const targets = Array.from({ length: 8 }, (_, index) => rig.addTarget(`t${index}`, { mode: 'resets' }));
  for (let count = 0; count < 4; count += 1) {
    rig.request();
    rig.run(CRASH_CHECK_MS + 400);
  }
  assert.deepEqual(rig.reports, []);
  targets.forEach((target) => Object.assign(target, { mode: 'answers' }));
  rig.run(10_000);
  const res = rig.request();
  rig.run(1000);
  assert.equal(res.status, 200);
});

test('requests that a broken path cuts off are not taken for ones that crash targets', (t) => {
  const rig = new GatewayRig(t, { isIdempotent: false });
  Array.from({ length: 8 }, (_, index) => rig.addTarget(`t${index}`));
  for (let round = 0; round < 5; round += 1) {
    rig.request();
    rig.run(100);
    rig.targets.forEach((target) => Object.assign(target, { mode: 'silent' }));
    rig.run(CRASH_CHECK_MS + 400);
    rig.targets.forEach((target) => Object.assign(target, { mode: 'answers' }));
    rig.run(2000);
  }
  assert.deepEqual(rig.reports, []);
  const res = rig.request();
  rig.run(400);
  assert.equal(res.status, 200);
});
