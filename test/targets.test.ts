import assert from 'node:assert/strict';
import { performance } from 'node:perf_hooks';
import { after, before, test } from 'node:test';

import type PatchOperation from '@guavayard/core/types/PatchOperation';
import OperatorClient from '@guavayard/operator/OperatorClient';

import assertNoBreach from './support/assertNoBreach';
import EntryCluster from './support/EntryCluster';

const TIME_TO_LIVE_MS = 2000;
const HEARTBEAT_MS = 500;
/** Limit for an update to reach every entry; if a target is silent, after its time to live. */
const UPDATE_LIMIT_MS = 4000;
/** Slot time that a probe takes, and the share of the slot time that probes may take. */
const PROBE_COST_MS = 6;
const PROBE_SHARE = 0.01;
/** A returning data centre starts with this share of its slots and ramps up to all in this time. */
const RETURN_MIN_SHARE = 0.05;
const RETURN_RAMP_MS = 10_000;
const RETURN_SLOTS = 40;
/** Number of entries that still run after the test that kills one. */
const RUNNING_ENTRIES = 3;
const TIMEOUT = { timeout: 30_000 };

const cluster = new EntryCluster();

before(async () => {
  await cluster.start(['munster-1', 'munster-2', 'leinster-1', 'munster-1']);
});
after(async () => cluster.remove());

test('a target announced to one entry serves requests of every other entry', TIMEOUT, async () => {
  await cluster.addService('one');
  const { target, announcement } = await cluster.startTarget('one-1');
  await cluster.announce(0, announcement);
  const others = [1, 2, 3];
  await Promise.all(others.map(async (index) => (
    cluster.waitForTarget(index, 'one-1', (known) => known?.state === 'ready')
  )));
  assert.deepEqual(await Promise.all(others.map(async (index) => cluster.get(index, '/one'))), [200, 200, 200]);
  assert.equal(target.runs, 3);
});

test('a draining target gets no new requests and finishes those in flight', TIMEOUT, async () => {
  await cluster.addService('two');
  const { target, announcement } = await cluster.startTarget('two-1');
  await cluster.announce(0, announcement);
  await cluster.waitForTarget(2, 'two-1', (known) => known !== undefined);
  const running = cluster.get(2, '/two', { 'emulated-service-time-ms': '2500' });
  await new Promise<void>((resolve) => {
    target.server.once('request', () => resolve());
  });
  const drainedAtMs = performance.now();
  await cluster.announce(1, { ...announcement, state: 'draining' });
  await cluster.waitForTarget(2, 'two-1', (known) => known?.state === 'draining');
  assert.ok(performance.now() - drainedAtMs < UPDATE_LIMIT_MS);
  assert.equal(await cluster.get(2, '/two'), 503);
  assert.equal(await running, 200);
  assert.equal(target.runs, 1);
});

test('a target that sends no heartbeats is removed from every entry', TIMEOUT, async () => {
  await cluster.addService('three');
  const { target, announcement } = await cluster.startTarget('three-1', TIME_TO_LIVE_MS);
  await cluster.announce(1, announcement);
  await cluster.waitForTarget(2, 'three-1', (known) => known !== undefined);
  const silentAtMs = performance.now();
  target.crash();
  await cluster.waitForTarget(2, 'three-1', (known) => known === undefined);
  assert.ok(performance.now() - silentAtMs < TIME_TO_LIVE_MS + UPDATE_LIMIT_MS);
});

test('a restarted target replaces its previous incarnation on every entry', TIMEOUT, async () => {
  await cluster.addService('four');
  const previous = await cluster.startTarget('four-1');
  await cluster.announce(0, previous.announcement);
  await cluster.waitForTarget(2, 'four-1', (known) => known !== undefined);
  const restarted = await cluster.startTarget('four-1');
  const { startId } = restarted.announcement;
  const restartedAtMs = performance.now();
  await cluster.announce(1, restarted.announcement);
  await Promise.all([0, 2, 3].map(async (index) => (
    cluster.waitForTarget(index, 'four-1', (known) => known?.startId === startId)
  )));
  assert.ok(performance.now() - restartedAtMs < UPDATE_LIMIT_MS);
  await assert.rejects(cluster.announce(3, previous.announcement), /has been replaced/);
  assert.equal(await cluster.get(2, '/four'), 200);
  assert.deepEqual([previous.target.runs, restarted.target.runs], [0, 1]);
});

test('a data centre that is out gets no requests until it is in again', TIMEOUT, async () => {
  await cluster.addService('five');
  const { target, announcement } = await cluster.startTarget('five-1');
  await cluster.announce(0, { ...announcement, dataCentre: 'munster-2' });
  await cluster.waitForTarget(2, 'five-1', (known) => known !== undefined);
  assert.equal(await cluster.get(2, '/five'), 200);
  const outAtMs = performance.now();
  await cluster.patch([{ op: 'replace', path: '/dataCentres/munster-2/state', value: 'out' }]);
  assert.ok(performance.now() - outAtMs < UPDATE_LIMIT_MS);
  assert.deepEqual(await Promise.all([0, 1, 2, 3].map(async (index) => cluster.get(index, '/five'))), [503, 503, 503, 503]);
  assert.equal(target.runs, 1);
  await cluster.patch([{ op: 'replace', path: '/dataCentres/munster-2/state', value: 'in' }]);
  assert.equal(await cluster.get(2, '/five'), 200);
});

test('a cold target is used only by its owner until it is warm', TIMEOUT, async () => {
  await cluster.addService('cold');
  const { target, announcement } = await cluster.startTarget('cold-1');
  target.change({ slots: 2, coldRequests: 8 });
  const cold = { ...announcement, dataCentre: 'munster-2', state: 'cold' as const };
  await cluster.announce(2, cold);
  // The only entry of the data centre is the owner.
  await cluster.waitForTarget(1, 'cold-1', (known) => known?.owner === 'entry-2');
  const warmUp = async (): Promise<void> => {
    await Promise.all([1, 1, 1].map(async (index) => cluster.get(index, '/cold')));
    if (cluster.entry(1).hasLine((line) => line.msg === 'target is warm')) return;
    await warmUp();
  };
  await warmUp();
  await cluster.waitForTarget(2, 'cold-1', (known) => known?.state === 'ready');
  assert.equal(target.statistics.overloads, 0);
  assert.equal(await cluster.get(2, '/cold'), 200);
});

/**
 * Checks that targets of a data centre that has returned get a growing share of the requests.
 *
 * @param service - name of a service of its own
 * @param leaveAndReturn - takes the data centre out, and brings it back at the entry beside it;
 *   returns when it began to bring it back, in milliseconds of the monotonic clock
 */
async function checkRamp(
  service: string,
  leaveAndReturn: (setState: (state: 'in' | 'out') => PatchOperation[]) => Promise<number>,
): Promise<void> {
  await cluster.addService(service);
  const near = await cluster.startTarget(`${service}-1`);
  const far = await cluster.startTarget(`${service}-2`);
  await cluster.announce(0, { ...near.announcement, dataCentre: 'munster-2', slots: RETURN_SLOTS });
  await cluster.announce(0, { ...far.announcement, dataCentre: 'munster-1', slots: RETURN_SLOTS });
  await cluster.waitForTarget(1, `${service}-2`, (known) => known !== undefined);
  const returnedAtMs = await leaveAndReturn((state) => (
    [{ op: 'replace', path: '/dataCentres/munster-2/state', value: state }]));
  const headers = { 'emulated-service-time-ms': '1000' };
  const requests = Array.from({ length: 30 }, async () => cluster.get(1, `/${service}`, headers));
  const waitForRuns = async (): Promise<void> => {
    if (near.target.runs + far.target.runs === requests.length) return;
    await cluster.waitForTarget(1, `${service}-1`, (known) => known !== undefined);
    await waitForRuns();
  };
  await waitForRuns();
  const share = Math.max(RETURN_MIN_SHARE, (performance.now() - returnedAtMs) / RETURN_RAMP_MS);
  const { mostInFlight } = near.target.statistics;
  assert.ok(mostInFlight <= Math.ceil(share * RETURN_SLOTS) + 1, `${mostInFlight} at ${share}`);
  assert.ok((await Promise.all(requests)).every((status) => status === 200));
  assert.equal(near.target.runs + far.target.runs, 30);
}

test('a returning data centre ramps up gradually', TIMEOUT, async () => {
  await checkRamp('ramp', async (setState) => {
    await cluster.patch(setState('out'));
    const returnedAtMs = performance.now();
    await cluster.patch(setState('in'));
    return returnedAtMs;
  });
});

// Guards against a busy entry that takes no notice of a data centre that was out for a moment.
test('a data centre that leaves and returns while an entry is suspended ramps up', TIMEOUT, async () => {
  await checkRamp('busy', async (setState) => {
    process.kill(cluster.entry(1).pid, 'SIGSTOP');
    await cluster.submit(setState('out'));
    await cluster.submit(setState('in'));
    const returnedAtMs = performance.now();
    process.kill(cluster.entry(1).pid, 'SIGCONT');
    await cluster.awaitVersion();
    return returnedAtMs;
  });
});

test('probes by the owner of an idle target take at most 1% of its slot time', TIMEOUT, async () => {
  await cluster.addService('probed');
  const { target, announcement } = await cluster.startTarget('probed-1');
  const announcedAtMs = performance.now();
  await cluster.announce(2, { ...announcement, dataCentre: 'munster-2', probePath: '/guavayard/probe' });
  const waitForProbes = async (count: number): Promise<void> => {
    if (target.statistics.probes >= count) return;
    await cluster.waitForTarget(1, 'probed-1', (known) => known?.owner === 'entry-2');
    await waitForProbes(count);
  };
  await waitForProbes(4);
  const slotTimeMs = (performance.now() - announcedAtMs) * announcement.slots;
  assert.ok(target.statistics.probes * PROBE_COST_MS <= PROBE_SHARE * slotTimeMs);
  assert.equal(target.runs, 0);
});

test('a target survives the entry that received its announcements', TIMEOUT, async (t) => {
  await cluster.addService('six');
  const heartbeating = await cluster.startTarget('six-1', TIME_TO_LIVE_MS);
  const silent = await cluster.startTarget('six-2', TIME_TO_LIVE_MS);
  await cluster.announce(3, heartbeating.announcement);
  await cluster.announce(3, silent.announcement);
  await cluster.waitForTarget(2, 'six-2', (known) => known !== undefined);
  assert.equal(await cluster.entry(3).stop('SIGKILL'), null);
  const heartbeat = setInterval(() => {
    cluster.announce(0, heartbeating.announcement).catch((err: Error) => assert.fail(err));
  }, HEARTBEAT_MS);
  t.after(() => clearInterval(heartbeat));
  await cluster.waitForTarget(2, 'six-2', (known) => known === undefined);
  assert.equal(await cluster.get(2, '/six'), 200);
  assert.equal(heartbeating.target.runs, 1);
});

test('no entry has broken an invariant', TIMEOUT, async () => {
  const url = `http://${cluster.control.address('operator')}`;
  await assertNoBreach(new OperatorClient(url, cluster.control.token), RUNNING_ENTRIES);
});
