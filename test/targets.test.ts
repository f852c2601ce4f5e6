import assert from 'node:assert/strict';
import { performance } from 'node:perf_hooks';
import { after, before, test } from 'node:test';

import OperatorClient from '@guavayard/operator/OperatorClient';

import assertNoBreach from './support/assertNoBreach';
import EntryCluster from './support/EntryCluster';

const TIME_TO_LIVE_MS = 2000;
const HEARTBEAT_MS = 500;
/** "A few seconds" of the promises, beyond the time to live where a target is silent. */
const FEW_SECONDS_MS = 4000;
/** What a probe costs a target, and the share of its slot time that probes may take. */
const PROBE_COST_MS = 6;
const PROBE_SHARE = 0.01;
/** A data centre that returns takes this share of its slots at once, and all in this time. */
const RETURN_MIN_SHARE = 0.05;
const RETURN_RAMP_MS = 10_000;
const RETURN_SLOTS = 40;
/** Entries that no test has killed. */
const LIVING_ENTRIES = 3;
const TIMEOUT = { timeout: 30_000 };

const system = new EntryCluster();

before(async () => {
  await system.start(['munster-1', 'munster-2', 'leinster-1', 'munster-1']);
});
after(async () => system.remove());

test('a target announced to one entry serves requests at every other', TIMEOUT, async () => {
  await system.addService('one');
  const { target, announcement } = await system.startTarget('one-1');
  await system.announce(0, announcement);
  const others = [1, 2, 3];
  await Promise.all(others.map(async (index) => (
    system.waitForTarget(index, 'one-1', (known) => known?.state === 'ready')
  )));
  assert.deepEqual(await Promise.all(others.map(async (index) => system.get(index, '/one'))), [200, 200, 200]);
  assert.equal(target.runs, 3);
});

test('a draining target gets no new work while the old is finished', TIMEOUT, async () => {
  await system.addService('two');
  const { target, announcement } = await system.startTarget('two-1');
  await system.announce(0, announcement);
  await system.waitForTarget(2, 'two-1', (known) => known !== undefined);
  const running = system.get(2, '/two', { 'emulated-service-time-ms': '2500' });
  await new Promise<void>((resolve) => {
    target.server.once('request', () => resolve());
  });
  const drainedAtMs = performance.now();
  await system.announce(1, { ...announcement, state: 'draining' });
  await system.waitForTarget(2, 'two-1', (known) => known?.state === 'draining');
  assert.ok(performance.now() - drainedAtMs < FEW_SECONDS_MS);
  assert.equal(await system.get(2, '/two'), 503);
  assert.equal(await running, 200);
  assert.equal(target.runs, 1);
});

test('a target that is silent is gone from every entry', TIMEOUT, async () => {
  await system.addService('three');
  const { target, announcement } = await system.startTarget('three-1', TIME_TO_LIVE_MS);
  await system.announce(1, announcement);
  await system.waitForTarget(2, 'three-1', (known) => known !== undefined);
  const silentAtMs = performance.now();
  target.crash();
  await system.waitForTarget(2, 'three-1', (known) => known === undefined);
  assert.ok(performance.now() - silentAtMs < TIME_TO_LIVE_MS + FEW_SECONDS_MS);
});

test('a restarted target replaces its former start at every entry', TIMEOUT, async () => {
  await system.addService('four');
  const former = await system.startTarget('four-1');
  await system.announce(0, former.announcement);
  await system.waitForTarget(2, 'four-1', (known) => known !== undefined);
  const restarted = await system.startTarget('four-1');
  const { startId } = restarted.announcement;
  const restartedAtMs = performance.now();
  await system.announce(1, restarted.announcement);
  await Promise.all([0, 2, 3].map(async (index) => (
    system.waitForTarget(index, 'four-1', (known) => known?.startId === startId)
  )));
  assert.ok(performance.now() - restartedAtMs < FEW_SECONDS_MS);
  await assert.rejects(system.announce(3, former.announcement), /has been replaced/);
  assert.equal(await system.get(2, '/four'), 200);
  assert.deepEqual([former.target.runs, restarted.target.runs], [0, 1]);
});

test('a data centre that is taken out gets no new work and returns', TIMEOUT, async () => {
  await system.addService('five');
  const { target, announcement } = await system.startTarget('five-1');
  await system.announce(0, { ...announcement, dataCentre: 'munster-2' });
  await system.waitForTarget(2, 'five-1', (known) => known !== undefined);
  assert.equal(await system.get(2, '/five'), 200);
  const outAtMs = performance.now();
  await system.patch([{ op: 'replace', path: '/dataCentres/munster-2/state', value: 'out' }]);
  assert.ok(performance.now() - outAtMs < FEW_SECONDS_MS);
  assert.deepEqual(await Promise.all([0, 1, 2, 3].map(async (index) => system.get(index, '/five'))), [503, 503, 503, 503]);
  assert.equal(target.runs, 1);
  await system.patch([{ op: 'replace', path: '/dataCentres/munster-2/state', value: 'in' }]);
  assert.equal(await system.get(2, '/five'), 200);
});

test('a cold target is used by its owner alone until it is warm', TIMEOUT, async () => {
  await system.addService('cold');
  const { target, announcement } = await system.startTarget('cold-1');
  target.change({ slots: 2, coldRequests: 8 });
  const cold = { ...announcement, dataCentre: 'munster-2', state: 'cold' as const };
  await system.announce(2, cold);
  // The only entry of the data centre is the owner.
  await system.waitForTarget(1, 'cold-1', (known) => known?.owner === 'entry-2');
  const warmUp = async (): Promise<void> => {
    await Promise.all([1, 1, 1].map(async (index) => system.get(index, '/cold')));
    if (system.entry(1).hasLine((line) => line.msg === 'target is warm')) return;
    await warmUp();
  };
  await warmUp();
  await system.waitForTarget(2, 'cold-1', (known) => known?.state === 'ready');
  assert.equal(target.statistics.overloads, 0);
  assert.equal(await system.get(2, '/cold'), 200);
});

test('a data centre that returns gets its share gradually', TIMEOUT, async () => {
  await system.addService('ramp');
  const near = await system.startTarget('ramp-1');
  const far = await system.startTarget('ramp-2');
  await system.announce(0, { ...near.announcement, dataCentre: 'munster-2', slots: RETURN_SLOTS });
  await system.announce(0, { ...far.announcement, dataCentre: 'munster-1', slots: RETURN_SLOTS });
  await system.waitForTarget(1, 'ramp-2', (known) => known !== undefined);
  const state = '/dataCentres/munster-2/state';
  await system.patch([{ op: 'replace', path: state, value: 'out' }]);
  const returnedAtMs = performance.now();
  await system.patch([{ op: 'replace', path: state, value: 'in' }]);
  const headers = { 'emulated-service-time-ms': '1000' };
  const requests = Array.from({ length: 30 }, async () => system.get(1, '/ramp', headers));
  const waitForRuns = async (): Promise<void> => {
    if (near.target.runs + far.target.runs === requests.length) return;
    await system.waitForTarget(1, 'ramp-1', (known) => known !== undefined);
    await waitForRuns();
  };
  await waitForRuns();
  const share = Math.max(RETURN_MIN_SHARE, (performance.now() - returnedAtMs) / RETURN_RAMP_MS);
  const { mostInFlight } = near.target.statistics;
  assert.ok(mostInFlight <= Math.ceil(share * RETURN_SLOTS) + 1, `${mostInFlight} at ${share}`);
  assert.ok((await Promise.all(requests)).every((status) => status === 200));
  assert.equal(near.target.runs + far.target.runs, 30);
});

test('a silent target is probed by its owner within 1% of its slot time', TIMEOUT, async () => {
  await system.addService('probed');
  const { target, announcement } = await system.startTarget('probed-1');
  const announcedAtMs = performance.now();
  await system.announce(2, { ...announcement, dataCentre: 'munster-2', probePath: '/guavayard/probe' });
  const waitForProbes = async (count: number): Promise<void> => {
    if (target.statistics.probes >= count) return;
    await system.waitForTarget(1, 'probed-1', (known) => known?.owner === 'entry-2');
    await waitForProbes(count);
  };
  await waitForProbes(4);
  const slotTimeMs = (performance.now() - announcedAtMs) * announcement.slots;
  assert.ok(target.statistics.probes * PROBE_COST_MS <= PROBE_SHARE * slotTimeMs);
  assert.equal(target.runs, 0);
});

test('a target outlives the entry that took its announcements', TIMEOUT, async (t) => {
  await system.addService('six');
  const heartbeating = await system.startTarget('six-1', TIME_TO_LIVE_MS);
  const silent = await system.startTarget('six-2', TIME_TO_LIVE_MS);
  await system.announce(3, heartbeating.announcement);
  await system.announce(3, silent.announcement);
  await system.waitForTarget(2, 'six-2', (known) => known !== undefined);
  assert.equal(await system.entry(3).stop('SIGKILL'), null);
  const heartbeat = setInterval(() => {
    system.announce(0, heartbeating.announcement).catch((err: Error) => assert.fail(err));
  }, HEARTBEAT_MS);
  t.after(() => clearInterval(heartbeat));
  await system.waitForTarget(2, 'six-2', (known) => known === undefined);
  assert.equal(await system.get(2, '/six'), 200);
  assert.equal(heartbeating.target.runs, 1);
});

test('no entry has broken an invariant', TIMEOUT, async () => {
  const url = `http://${system.control.address('operator')}`;
  await assertNoBreach(new OperatorClient(url, system.control.token), LIVING_ENTRIES);
});
