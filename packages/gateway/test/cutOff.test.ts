import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';

import type FakeResponse from './support/FakeResponse';
import GatewayRig from './support/GatewayRig';

const TARGETS = 6;
/** Longest time until a service without a path counts as unreachable, in milliseconds. */
const NOTICED_MS = 600;

function createRig(t: TestContext, isIdempotent = true): GatewayRig {
  const rig = new GatewayRig(t, { isIdempotent });
  for (let index = 0; index < TARGETS; index += 1) rig.addTarget(`t-${index}`);
  rig.request();
  rig.run(400);
  return rig;
}

function cut(rig: GatewayRig): void {
  rig.targets.forEach((target) => Object.assign(target, { mode: 'silent' }));
}

function createCutOffRig(t: TestContext): GatewayRig {
  const rig = createRig(t);
  cut(rig);
  rig.request();
  rig.run(NOTICED_MS);
  return rig;
}

function heal(rig: GatewayRig): void {
  rig.targets.forEach((target) => Object.assign(target, { mode: 'answers' }));
}

function countSent(rig: GatewayRig): number {
  return rig.sender.sent.length;
}

function served(responses: readonly FakeResponse[]): number {
  return responses.filter(({ status }) => status === 200).length;
}

test('a request whose targets are silent is sent to none of them, but to another entry', (t) => {
  [true, false].forEach((isIdempotent) => {
    const rig = createRig(t, isIdempotent);
    const before = countSent(rig);
    cut(rig);
    const res = rig.request();
    rig.run(1000);
    assert.deepEqual([res.status, res.body], [200, 'relayed']);
    assert.equal(countSent(rig), before);
    t.mock.timers.reset();
  });
});

test('later requests go to another entry at once', (t) => {
  const rig = createRig(t);
  cut(rig);
  rig.request();
  rig.run(NOTICED_MS);
  const sent = rig.relay.sent.length;
  rig.request();
  assert.equal(rig.relay.sent.length, sent + 1);
});

test('callers of an entry without a path are served like before within a second of its return', (t) => {
  const rig = createRig(t, false);
  cut(rig);
  rig.request();
  rig.run(3000);
  heal(rig);
  rig.run(1000);
  const before = countSent(rig);
  const res = rig.request();
  rig.run(400);
  assert.equal(res.status, 200);
  assert.equal(countSent(rig), before + 1);
});

test('a request that nobody takes is refused at once, as not run, with a time to return', (t) => {
  const rig = createRig(t, false);
  rig.relay.mode = 'refuses';
  cut(rig);
  rig.request();
  rig.run(NOTICED_MS);
  const before = countSent(rig);
  const res = rig.request();
  assert.equal(res.status, 503);
  assert.ok(Number(res.headers['retry-after']) > 0);
  assert.equal(countSent(rig), before);
});

test('a request waits a moment for entries that are busy or start', (t) => {
  const rig = createRig(t);
  cut(rig);
  rig.request();
  rig.run(NOTICED_MS);
  Object.assign(rig.relay, { mode: 'refuses', reason: 'no answer' });
  const res = rig.request();
  rig.run(100);
  assert.equal(res.status, undefined);
  rig.relay.mode = 'serves';
  rig.run(300);
  assert.equal(res.status, 200);
  Object.assign(rig.relay, { mode: 'refuses', reason: 'busy' });
  const late = rig.request();
  rig.run(0.35 * 600);
  assert.equal(late.status, 503);
  Object.assign(rig.relay, { reason: 'no answer' });
  const last = rig.request({ remainingMs: 1200 });
  rig.run(300);
  assert.equal(last.status, undefined);
  rig.run(100);
  assert.equal(last.status, 503);
});

test('the refusal of the other entry reaches the caller with its time to return', (t) => {
  const rig = createRig(t, false);
  rig.relay.mode = 'overloaded';
  cut(rig);
  const res = rig.request();
  rig.run(1000);
  assert.deepEqual([res.status, Number(res.headers['retry-after'])], [503, 400]);
});

test('a request that may have run at the other entry is not said not to have run', (t) => {
  const rig = createRig(t, false);
  rig.relay.mode = 'fails';
  cut(rig);
  const res = rig.request();
  rig.run(1000);
  assert.equal(res.status, 502);
  assert.equal(rig.relay.sent.length, 1);
});

test('an idempotent request is given to another entry again if the first one fails', (t) => {
  const rig = createRig(t);
  rig.relay.mode = 'fails';
  cut(rig);
  for (let index = 0; index < 20; index += 1) rig.request();
  rig.run(NOTICED_MS);
  const before = rig.relay.sent.length;
  const res = rig.request();
  rig.run(250);
  rig.relay.mode = 'serves';
  rig.run(500);
  assert.equal(rig.relay.sent.length, before + 2);
  assert.equal(res.status, 200);
});

test('a caller that leaves ends the request at the other entry', (t) => {
  const rig = createRig(t);
  cut(rig);
  rig.request();
  rig.run(NOTICED_MS);
  const res = rig.request();
  res.emit('close');
  assert.equal(rig.relay.aborts, 1);
});

test('a request whose deadline passes at the other entry ends there, too', (t) => {
  const rig = createRig(t);
  cut(rig);
  rig.request();
  rig.run(NOTICED_MS);
  const res = rig.request({ remainingMs: 100 });
  rig.run(150);
  assert.equal(res.status, 504);
  assert.equal(rig.relay.aborts, 1);
});

test('targets that fail alone are no reason to ask other entries', (t) => {
  const rig = createRig(t);
  rig.targets.slice(0, 2).forEach((target) => Object.assign(target, { mode: 'silent' }));
  const responses = Array.from({ length: 12 }, () => {
    const res = rig.request();
    rig.run(150);
    return res;
  });
  rig.run(1000);
  assert.equal(rig.relay.sent.length, 0);
  assert.equal(served(responses), responses.length);
});

test('callers are served through a path that comes and goes each second', (t) => {
  const rig = createRig(t, false);
  const responses: FakeResponse[] = [];
  for (let second = 0; second < 8; second += 1) {
    if (second % 2 === 0) cut(rig);
    else heal(rig);
    for (let index = 0; index < 5; index += 1) {
      responses.push(rig.request());
      rig.run(200);
    }
  }
  rig.run(3000);
  // Those on their way to a target when the path breaks are lost: they may have run.
  assert.ok(served(responses) >= 0.8 * responses.length, `${served(responses)} of ${responses.length}`);
});

test('an entry gives up as many probes with relayed requests as its budget holds', (t) => {
  const rig = createRig(t);
  cut(rig);
  rig.request();
  rig.run(1500);
  rig.request();
  const [sent] = rig.relay.sent.slice(-1);
  const taken: number[] = [];
  for (let index = 0; index < 2000; index += 1) taken.push(sent?.takeAllowance().probes ?? 0);
  const all = taken.reduce((sum, probes) => sum + probes, 0);
  // The limit of the rig is 1000 probes a second to each of six targets, of which half is used.
  assert.ok(taken[0] === 3 && taken.at(-1) === 0 && all <= 3000, `${all}`);
});

test('a request that waits is relayed under the version that is in force by then', (t) => {
  const rig = createRig(t);
  cut(rig);
  rig.request();
  rig.run(NOTICED_MS);
  Object.assign(rig.relay, { mode: 'refuses', reason: 'version' });
  const res = rig.request();
  assert.equal(rig.relay.sent.at(-1)?.version(), 1);
  rig.run(300);
  rig.version = 2;
  rig.relay.mode = 'serves';
  rig.run(400);
  assert.deepEqual([res.status, rig.relay.sent.at(-1)?.version()], [200, 2]);
});

// Guards against targets that are never tried, as those that they replace were silent.
test('targets that replace lost ones are tried, while the lost ones are still registered', (t) => {
  const rig = createCutOffRig(t);
  rig.addTarget('new');
  rig.run(1000);
  const res = rig.request();
  rig.run(500);
  assert.deepEqual([res.status, res.body], [200, 'new']);
});

test('a service is tried again once all of its silent targets have left the registry', (t) => {
  const rig = createCutOffRig(t);
  rig.targets.splice(0);
  rig.update();
  rig.run(3000);
  rig.addTarget('new');
  const res = rig.request();
  rig.run(500);
  assert.deepEqual([res.status, res.body], [200, 'new']);
});

// Guards against entries that take slow targets for a cut and refuse what these would serve.
test('requests are served by targets that all answer late', (t) => {
  const rig = createRig(t, false);
  rig.relay.mode = 'refuses';
  rig.targets.forEach((target) => Object.assign(target, { probeMs: 250 }));
  const responses = Array.from({ length: 30 }, () => {
    const res = rig.request();
    rig.run(300);
    return res;
  });
  rig.run(1000);
  assert.ok(served(responses.slice(5)) >= 24, `${served(responses.slice(5))} of 25`);
});

test('a time in which the entry stands still is not taken for silence of the targets', (t) => {
  const rig = createRig(t, false);
  rig.relay.mode = 'refuses';
  rig.targets.forEach((target) => Object.assign(target, { probeMs: 100 }));
  const res = rig.request();
  rig.run(60);
  rig.stall(600);
  rig.run(600);
  assert.equal(res.status, 200);
});

// Guards against cut entries that leave others alone for a second whose targets are only late.
test('an entry whose targets answer late is busy for others, and takes the next request', (t) => {
  const rig = createRig(t);
  rig.targets.forEach((target) => Object.assign(target, { probeMs: 80 }));
  rig.run(1000);
  const replies: unknown[] = [];
  const ask = (): void => rig.admission.decide('lots', 1, (refusal) => replies.push(refusal));
  ask();
  rig.run(60);
  assert.deepEqual(replies, ['busy']);
  rig.run(40);
  ask();
  assert.deepEqual(replies, ['busy', undefined]);
});

test('an entry whose targets are silent says so to others', (t) => {
  const rig = createCutOffRig(t);
  const replies: unknown[] = [];
  rig.admission.decide('lots', 1, (refusal) => replies.push(refusal));
  assert.deepEqual(replies, ['unreachable']);
});

// Guards against entries without requests of their own that never tell that they are cut off.
test('an entry that is only asked by others finds out that its targets are silent', (t) => {
  const rig = createRig(t);
  for (let index = 0; index < TARGETS; index += 1) rig.addTarget(`more-${index}`);
  rig.run(1000);
  cut(rig);
  const replies: unknown[] = [];
  const ask = (): void => rig.admission.decide('lots', 1, (refusal) => replies.push(refusal));
  ask();
  rig.run(300);
  ask();
  rig.run(30);
  assert.deepEqual(replies, ['busy', 'unreachable']);
});
