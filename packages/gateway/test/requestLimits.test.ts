import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';

import GatewayRig from './support/GatewayRig';

const ENTRIES = ['entry-1', 'entry-2', 'entry-3', 'entry-4'].map((name) => ({ name, region: 'near' }));

/** Creates an entry that knows itself as the only one, so that it has the whole of each limit. */
function createRig(t: TestContext): GatewayRig {
  const rig = new GatewayRig(t);
  rig.pool.setEntries(ENTRIES.slice(0, 1));
  return rig;
}

/** Sends a request each 50 ms and returns the ids of the targets that got one. */
function sendFor(rig: GatewayRig, ms: number): string[] {
  const before = rig.sender.sent.length;
  for (let sentMs = 0; sentMs < ms; sentMs += 50) {
    rig.request();
    rig.run(50);
  }
  return rig.sender.sent.slice(before).map(({ target }) => target.id);
}

test('what does not fit within the limit of a target goes to the others', (t) => {
  const rig = createRig(t);
  rig.addTarget('a', { limit: 1, slots: 8, workMs: 20 });
  rig.addTarget('b', { slots: 8, workMs: 20 });
  sendFor(rig, 1000);
  const sent = sendFor(rig, 10_000);
  const limited = sent.filter((id) => id === 'a').length;
  assert.ok(limited >= 8 && limited <= 12, String(limited));
  assert.equal(sent.length, 200);
});

test('a request that no limit allows in time is refused at once, with the time of the next one', (t) => {
  const rig = createRig(t);
  rig.addTarget('a', { limit: 0.5 });
  rig.pool.recordLimitNotices([{ targetId: 'a', bornAtMs: 1, requestsPerSecond: 0.5 }]);
  const refused = [rig.request(), rig.request()];
  assert.deepEqual(refused.map(({ status }) => status), [503, 503]);
  assert.deepEqual(refused.map(({ headers }) => Number(headers['retry-after'])), [2000, 4000]);
});

test('of requests that wait for a limit, those that it allows too late are refused on arrival', (t) => {
  const rig = createRig(t);
  const target = rig.addTarget('a', { limit: 8, workMs: 20, running: 2 });
  // After a search that found no slot, one request searches at a time.
  rig.request();
  rig.run(300);
  target.running = 0;
  [undefined, 8].forEach((requestsPerSecond) => {
    rig.pool.recordLimitNotices([{ targetId: 'a', bornAtMs: 1, requestsPerSecond }]);
  });
  const first = rig.request();
  const second = rig.request();
  assert.deepEqual([first.status, second.status], [undefined, 503]);
  rig.run(200);
  assert.equal(first.status, 200);
});

test('a request waits for the limit of a target if it allows one in time, by priority', (t) => {
  const rig = createRig(t);
  rig.addTarget('a', { limit: 4, workMs: 20 });
  rig.pool.recordLimitNotices([{ targetId: 'a', bornAtMs: 1, requestsPerSecond: 4 }]);
  rig.run(100);
  rig.route.priority = 2;
  const late = rig.request();
  rig.route.priority = 0;
  const urgent = rig.request();
  rig.run(300);
  assert.deepEqual([urgent.status, late.status, rig.sender.sent.length], [200, 503, 1]);
});

test('a target whose limit is withdrawn gets its share of requests again', (t) => {
  const rig = createRig(t);
  const target = rig.addTarget('a', { limit: 0.5, slots: 8, workMs: 20 });
  sendFor(rig, 1000);
  delete target.limit;
  // The next response, to a request or a probe, states no limit.
  rig.run(2500);
  sendFor(rig, 200);
  assert.equal(sendFor(rig, 1000).length, 20);
  assert.deepEqual(rig.notices.map(({ requestsPerSecond }) => requestsPerSecond), [0.5, undefined]);
});

test('a limit that another entry reports binds this entry, but not the next incarnation', (t) => {
  const rig = createRig(t);
  rig.addTarget('a', { slots: 8, workMs: 20 });
  rig.pool.setEntries(ENTRIES.slice(1));
  const notice = { targetId: 'a', bornAtMs: 1, requestsPerSecond: 1 };
  rig.pool.recordLimitNotices([{ ...notice, bornAtMs: 0 }, { ...notice, targetId: 'gone' }]);
  assert.equal(sendFor(rig, 500).length, 10);
  rig.pool.recordLimitNotices([notice]);
  assert.equal(sendFor(rig, 500).length, 0);
  rig.records.a = { bornAtMs: 2 };
  rig.update();
  assert.equal(sendFor(rig, 500).length, 10);
});

test('an entry that knows no other entries yet sends nothing to a target with a limit', (t) => {
  const rig = createRig(t);
  rig.pool.setEntries([]);
  rig.addTarget('a', { limit: 4, slots: 8, workMs: 20 });
  rig.pool.recordLimitNotices([{ targetId: 'a', bornAtMs: 1, requestsPerSecond: 4 }]);
  assert.equal(sendFor(rig, 3000).length, 0);
  rig.pool.setEntries(ENTRIES.slice(0, 1));
  assert.ok(sendFor(rig, 3000).length > 0);
});

test('an unchanged limit is shared at most every five seconds', (t) => {
  const rig = createRig(t);
  rig.addTarget('a', { limit: 4, slots: 8, workMs: 20 });
  sendFor(rig, 9000);
  assert.equal(rig.notices.length, 2);
});

test('an entry without a path to targets gives up its share with the requests that it relays', (t) => {
  const rig = createRig(t);
  rig.addTarget('limited', { limit: 2 });
  rig.request();
  rig.run(2000);
  Object.assign(rig.targets[0] ?? {}, { mode: 'silent' });
  rig.request();
  rig.run(1500);
  rig.request();
  const take = (): string[] => rig.relay.sent.at(-1)?.takeAllowance().permittedIds ?? [];
  assert.deepEqual(take(), ['limited']);
  let taken = 1;
  while (taken < 100 && take().length === 1) taken += 1;
  // Allowed in 4 s: one and a half times the limit, and 5.
  assert.ok(taken <= 1.5 * 2 * 4 + 5, `${taken}`);
});

test('a request that brings a part of a share uses that one', (t) => {
  const rig = createRig(t);
  rig.addTarget('limited', { limit: 0.1 });
  rig.pool.recordLimitNotices([{ targetId: 'limited', bornAtMs: 1, requestsPerSecond: 0.1 }]);
  const ids = (permitted: string[]): string[] => (
    rig.pool.findEligible('lots', undefined, [], permitted).map(({ record }) => record.id));
  assert.deepEqual(ids([]), []);
  const [target] = rig.pool.findEligible('lots', undefined, [], ['limited']);
  assert.ok(target !== undefined);
  const before = target.requestLimit?.allowance?.available(0);
  rig.pool.recordSend(target, ['limited']);
  assert.equal(target.requestLimit?.allowance?.available(0), before);
});
