import assert from 'node:assert/strict';
import { test } from 'node:test';

import GatewayRig from './support/GatewayRig';

const NOISE_PERIOD_MS = 150;
/** The fractional parts of its multiples are evenly distributed over 0 to 1. */
const GOLDEN_RATIO = 0.618034;

test('a request is sent to the idle target at its usual speed', (t) => {
  const rig = new GatewayRig(t);
  rig.addTarget('slowed', { slowness: 5 });
  rig.addTarget('busy', { running: 2 });
  rig.addTarget('good');
  rig.run(50);
  const res = rig.request();
  rig.run(300);
  assert.equal(res.body, 'good');
});

test('a request waits for a slowed target to recover', (t) => {
  const rig = new GatewayRig(t);
  const target = rig.addTarget('a', { slowness: 5 });
  rig.request();
  rig.request();
  rig.run(100);
  assert.equal(rig.sender.sent.length, 0);
  target.slowness = 1;
  rig.run(100);
  assert.deepEqual(rig.sender.sent.map(({ slowness }) => slowness), [1, 1]);
});

test('a single request uses a slowed target after its wait limit', (t) => {
  const rig = new GatewayRig(t);
  rig.addTarget('a', { slowness: 5 });
  const res = rig.request();
  rig.run(1500);
  assert.equal(res.status, 200);
});

test('under noise, requests avoid slowed targets while others are at their usual speed', (t) => {
  const rig = new GatewayRig(t);
  const targets = Array.from({ length: 8 }, (_, index) => rig.addTarget(`t${index}`));
  const responses = [];
  for (let step = 0; step < 300; step += 1) {
    // Each target is slowed by a factor of 5 for a quarter of the time, each with its own phase.
    targets.forEach((target, index) => {
      const phase = (step * 10 + index * 40) % (4 * NOISE_PERIOD_MS);
      Object.assign(target, { slowness: phase < NOISE_PERIOD_MS ? 5 : 1 });
    });
    if (step % 3 === 0) responses.push(rig.request());
    rig.run(10);
  }
  rig.run(2500);
  const slow = rig.sender.sent.filter(({ slowness }) => slowness > 1).length;
  assert.ok(slow <= 0.02 * rig.sender.sent.length, `${slow} of ${rig.sender.sent.length}`);
  assert.ok(responses.every(({ status }) => status === 200));
});

test('under overload, a request is refused within a share of its target latency', (t) => {
  const rig = new GatewayRig(t);
  rig.addTarget('a');
  const responses = Array.from({ length: 40 }, () => rig.request());
  rig.run(2000);
  const refused = responses.filter(({ status }) => status === 503);
  const served = responses.filter(({ status }) => status === 200);
  assert.equal(refused.length + served.length, 40);
  assert.ok(served.length >= 2);
  refused.forEach((res) => {
    assert.ok((res.endedAtMs ?? Infinity) <= 0.35 * rig.route.targetLatencyMs);
    assert.ok(Number(res.headers['retry-after']) > 0);
  });
});

test('no target receives more concurrent requests than it has slots', (t) => {
  const rig = new GatewayRig(t);
  const targets = ['a', 'b', 'c'].map((id) => rig.addTarget(id));
  for (let step = 0; step < 100; step += 1) {
    rig.request();
    rig.run(10);
    targets.forEach(({ running, slots }) => assert.ok(running <= slots));
  }
});

test('a request leaves its region if no near target has a free slot', (t) => {
  const rig = new GatewayRig(t);
  rig.addTarget('near', { running: 2 });
  rig.addTarget('far', { region: 'far' });
  const res = rig.request();
  rig.run(300);
  assert.equal(res.body, 'far');
});

// Probes of other regions take several times as long as those of near targets, most of all if they
// are not answered.
test('a near slot that becomes free while other regions are probed is used', (t) => {
  const rig = new GatewayRig(t);
  const near = rig.addTarget('near', { running: 2 });
  rig.addTarget('far', { region: 'far', mode: 'silent' });
  rig.request();
  rig.run(40);
  near.running = 0;
  rig.run(60);
  assert.deepEqual(rig.sender.sent.map(({ target }) => target.id), ['near']);
});

test('the last slot of a target is used if work there is done in time', (t) => {
  const rig = new GatewayRig(t);
  const target = rig.addTarget('a', { slots: 2 });
  const responses = Array.from({ length: 2 }, () => rig.request());
  rig.run(50);
  assert.equal(target.running, 2);
  rig.run(1000);
  assert.deepEqual(responses.map(({ status }) => status), [200, 200]);
});

test('a large body stays in its region while a target there is alive', (t) => {
  const rig = new GatewayRig(t);
  rig.addTarget('near', { running: 2 });
  rig.addTarget('far', { region: 'far' });
  rig.request({ headers: { 'content-length': '60000' } });
  rig.run(300);
  assert.deepEqual(rig.sender.sent, []);
});

test('a request with home regions is sent to these regions only', (t) => {
  const rig = new GatewayRig(t, { homeRegions: ['far'] });
  rig.addTarget('near');
  rig.addTarget('far', { region: 'far' });
  const res = rig.request();
  rig.run(300);
  assert.equal(res.body, 'far');
});

test('draining targets and evacuated data centres receive no new requests', (t) => {
  const rig = new GatewayRig(t);
  rig.addTarget('a');
  rig.addTarget('b', { region: 'far' });
  rig.records.a = { state: 'draining' };
  rig.evacuated.add('far');
  rig.update();
  const res = rig.request();
  rig.run(50);
  assert.deepEqual([res.status, rig.sender.sent.length], [503, 0]);
});

test('a probe detects a target that became cold unannounced', (t) => {
  const rig = new GatewayRig(t);
  const target = rig.addTarget('a', { slots: 50, workMs: 5 });
  rig.request();
  rig.run(50);
  target.coldLeftMs = 5000;
  for (let count = 0; count < 60; count += 1) {
    rig.request();
    rig.run(15);
  }
  // 2 requests per second times a burst factor of 1.5, a slack of 5, and 1 more before the probe.
  assert.ok(rig.sender.sent.length <= 1 + 2 * 1.5 + 5 + 1, String(rig.sender.sent.length));
});

// Guards against entries that send their share on top of what a target got while they took it for
// warm.
test('requests just before an entry learns that a target is cold count for its limit', (t) => {
  const rig = new GatewayRig(t);
  const target = rig.addTarget('a', { slots: 50, workMs: 5 });
  const sendFor = (ms: number): number => {
    const sent = rig.sender.sent.length;
    for (let sentMs = 0; sentMs < ms; sentMs += 20) {
      rig.pool.observeTime();
      rig.request();
      rig.run(20);
    }
    return rig.sender.sent.length - sent;
  };
  assert.equal(sendFor(5000), 250);
  target.coldLeftMs = 5000;
  const first = sendFor(600);
  assert.ok(first <= 1, String(first));
  assert.ok(sendFor(1500) > 2);
});

test('a burst after low traffic is not refused while slots are free', (t) => {
  const rig = new GatewayRig(t);
  Array.from({ length: 10 }, (_, index) => rig.addTarget(`t${index}`));
  for (let count = 0; count < 10; count += 1) {
    rig.request();
    rig.run(300);
  }
  const responses = Array.from({ length: 12 }, () => rig.request());
  rig.run(1000);
  assert.deepEqual(responses.map(({ status }) => status), responses.map(() => 200));
});

test('a request finds a free target when its preferred targets are full', (t) => {
  const rig = new GatewayRig(t);
  const targets = Array.from({ length: 40 }, (_, index) => rig.addTarget(`t${index}`, { running: 2 }));
  const [free] = targets;
  Object.assign(free ?? {}, { running: 0 });
  const res = rig.request();
  rig.run(500);
  assert.equal(res.body, 't0');
});

test('low traffic uses connections to only a few of many targets', (t) => {
  const rig = new GatewayRig(t);
  let draws = 0;
  rig.random = () => {
    draws += 1;
    return (draws * GOLDEN_RATIO) % 1;
  };
  Array.from({ length: 40 }, (_, index) => rig.addTarget(`t${index}`));
  for (let count = 0; count < 50; count += 1) {
    rig.request();
    rig.run(250);
  }
  assert.equal(rig.sender.sent.length, 50);
  assert.ok(rig.sender.addresses.size <= 4, `${rig.sender.addresses.size} targets have connections`);
});

test('under low traffic, at most 3 probes per request are sent', (t) => {
  const rig = new GatewayRig(t);
  Array.from({ length: 8 }, (_, index) => rig.addTarget(`t${index}`));
  for (let count = 0; count < 20; count += 1) {
    rig.request();
    rig.run(250);
  }
  assert.equal(rig.sender.sent.length, 20);
  assert.ok(rig.sender.probes <= 20 * 3, `${rig.sender.probes} probes`);
});

test('targets that refuse half of their requests receive less than half of the traffic', (t) => {
  const rig = new GatewayRig(t);
  const refusing = Array.from({ length: 4 }, (_, index) => rig.addTarget(`refusing-${index}`));
  rig.addTarget('good-1');
  rig.addTarget('good-2');
  for (let step = 0; step < 400; step += 1) {
    refusing.forEach((target, index) => {
      Object.assign(target, { mode: (step + index) % 2 === 0 ? 'not-run' : 'answers' });
    });
    if (step % 8 === 0) rig.request();
    rig.run(10);
  }
  rig.run(2500);
  const sent = rig.sender.sent.slice(rig.sender.sent.length / 4);
  const wasted = sent.filter(({ target }) => refusing.includes(target)).length;
  assert.ok(wasted < 0.5 * sent.length, `${wasted} of ${sent.length}`);
});

test('a request probes many near targets before it leaves its region', (t) => {
  const rig = new GatewayRig(t);
  Array.from({ length: 24 }, (_, index) => rig.addTarget(`near-${index}`));
  rig.addTarget('far', { region: 'far' });
  const near = rig.targets[rig.targets.length - 2];
  rig.targets.slice(0, -1).forEach((target) => Object.assign(target, { running: 2 }));
  Object.assign(near ?? {}, { running: 0 });
  const res = rig.request();
  rig.run(1000);
  assert.equal(res.body, near?.id);
});
