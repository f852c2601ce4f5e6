import assert from 'node:assert/strict';
import { test } from 'node:test';

import AdmissionControl from '../src/placement/AdmissionControl';
import estimateCost from '../src/placement/estimateCost';
import estimateLoad from '../src/placement/estimateLoad';
import hasFreeSlot from '../src/placement/hasFreeSlot';
import matchDeclaredRoute from '../src/placement/matchDeclaredRoute';
import maySendToColdTarget from '../src/placement/maySendToColdTarget';
import placementLimits from '../src/placement/placementLimits';
import estimateRejectShare from '../src/placement/estimateRejectShare';
import recordOutcome from '../src/placement/recordOutcome';
import recordRejection from '../src/placement/recordRejection';
import RetryBudget from '../src/placement/RetryBudget';
import selectKeepAliveTargets from '../src/placement/selectKeepAliveTargets';
import ServiceSpeed from '../src/placement/ServiceSpeed';
import WeightedRoundRobin from '../src/placement/WeightedRoundRobin';
import type Declaration from '../src/registry/Declaration';
import createTarget from './support/createTarget';

test('the load estimate adds the requests sent after the reading', () => {
  const target = createTarget('a', { running: 1, sentAtMs: 10, atMs: 12 });
  target.inFlight.add({ sentAtMs: 5 });
  target.inFlight.add({ sentAtMs: 20 });
  assert.equal(estimateLoad(target, 25), 2);
});

test('an expired reading is replaced by the requests in flight from this entry', () => {
  const target = createTarget('a', { running: 2 });
  target.inFlight.add({ sentAtMs: 5 });
  assert.equal(estimateLoad(target, placementLimits.readingMaxAgeMs + 1), 1);
});

test('an idle target at its usual speed has the lowest cost', () => {
  const best = estimateCost(createTarget('a', {}), 1.5, 5);
  const others = [
    createTarget('slowed', { slowness: 5 }),
    createTarget('above the knee', { running: 1 }),
    createTarget('unknown'),
    { ...createTarget('unhealthy', {}), isUnhealthy: true },
    { ...createTarget('failing', {}), failureShare: 0.4 },
  ];
  others.forEach((target) => {
    assert.ok(best < estimateCost(target, 1.5, 5), target.record.id);
  });
});

test('a slowness reported longer ago than a slow phase lasts is ignored', () => {
  const target = createTarget('a', {});
  const later = placementLimits.speedMaxAgeMs + 1;
  assert.ok(estimateCost(target, 1, later) > estimateCost(target, 1, 0) + 0.9);
});

test('a target at its concurrency limit has no free slot', () => {
  assert.equal(hasFreeSlot(createTarget('a', { running: 1 }), 2, 1), true);
  assert.equal(hasFreeSlot(createTarget('a', { running: 1, waiting: 1 }), 2, 1), false);
});

test('the last slots are used only if work there is done in time or they increase throughput', () => {
  const slow = new ServiceSpeed();
  const flat = new ServiceSpeed();
  for (let count = 0; count < 20; count += 1) {
    slow.record(100, 1, 0.5);
    slow.record(170, 1, 1);
    flat.record(100, 1, 0.5);
    flat.record(100, 1, 1);
  }
  assert.equal(slow.bestConcurrency(4, 200), 3);
  assert.equal(slow.bestConcurrency(2, 200), 2);
  assert.equal(flat.bestConcurrency(4, 100), 4);
  // 170 ms leave a quarter of the latency target for the wait and the way.
  assert.equal(slow.bestConcurrency(4, 230), 4);
  assert.equal(slow.bestConcurrency(4, 220), 3);
  assert.equal(new ServiceSpeed().bestConcurrency(4, 10_000), 4);
});

test('durations on a slowed target do not count for its service', () => {
  const speed = new ServiceSpeed();
  for (let count = 0; count < 20; count += 1) speed.record(1000, 5, 0.5);
  assert.equal(speed.usualMs, undefined);
});

test('all entries together keep the rate limit of a cold target', () => {
  [1, 6, 19, 40].forEach((entries) => {
    [8.75, 18.8, 40].forEach((requestsPerSecond) => {
      const entryNames = Array.from({ length: entries }, (_, index) => `entry-${index}`);
      const rosters = [{ entryNames, membership: 'settled' as const, sinceMs: 0 }];
      let sent = 0;
      entryNames.forEach((name) => {
        const target = createTarget('cold');
        target.coldUntilMs = 1000;
        for (let tries = 0; tries < 50; tries += 1) {
          if (maySendToColdTarget(target, { requestsPerSecond, rosters }, name, 500)) {
            target.recentSends.push(500);
            sent += 1;
          }
        }
      });
      assert.ok(sent <= requestsPerSecond, `${sent} of ${requestsPerSecond} by ${entries}`);
      assert.ok(sent > 0);
    });
  });
});

test('the rate limit of a cold target has a window of one second', () => {
  const target = createTarget('cold');
  target.coldUntilMs = 5000;
  const rosters = [{ entryNames: ['a'], membership: 'settled' as const, sinceMs: 0 }];
  const bound = { requestsPerSecond: 4, rosters };
  target.recentSends = [100, 100, 100];
  assert.equal(maySendToColdTarget(target, bound, 'a', 500), false);
  assert.equal(maySendToColdTarget(target, bound, 'a', 1200), true);
});

test('a target that fails too often is ejected, for longer each time', () => {
  const target = createTarget('a');
  let ejectedAt = -1;
  for (let count = 0; count < 10 && ejectedAt < 0; count += 1) {
    if (recordOutcome(target, true, 1000)) ejectedAt = count;
  }
  assert.ok(ejectedAt >= 1, 'one failure does not eject');
  const first = target.ejectedUntilMs - 1000;
  while (!recordOutcome(target, true, 1000));
  assert.ok(target.ejectedUntilMs - 1000 > first);
});

test('all entries together keep the retry budget', () => {
  const entries = 19;
  let retries = 0;
  for (let entry = 0; entry < entries; entry += 1) {
    const budget = new RetryBudget({
      ratio: 0.2, slack: 64, windowMs: 10_000, startedAtMs: -10_000,
    });
    for (let count = 0; count < 50; count += 1) {
      budget.recordFirst(count);
      const grant = budget.take(count, { entryCount: entries, sinceMs: -10_000 });
      grant?.recordSent(count);
      if (grant !== undefined) retries += 1;
    }
  }
  assert.ok(retries <= 0.2 * 50 * entries + 64);
  assert.ok(retries > 100);
});

test('a route is split by weight, evenly in every prefix of the sequence', () => {
  const split = new WeightedRoundRobin();
  const parts = [{ service: 'old', weight: 90 }, { service: 'new', weight: 10 }];
  const chosen = Array.from({ length: 200 }, () => split.next('r', parts));
  assert.equal(chosen.filter((service) => service === 'new').length, 20);
  assert.equal(chosen.slice(0, 50).filter((service) => service === 'new').length, 5);
});

test('a service with weight 0 gets no requests', () => {
  const split = new WeightedRoundRobin();
  const parts = [{ service: 'off', weight: 0 }, { service: 'on', weight: 3 }];
  const chosen = Array.from({ length: 20 }, () => split.next('r', parts));
  assert.deepEqual(new Set(chosen), new Set(['on']));
});

test('the longest matching prefix of the host wins', () => {
  const route = (host: string, pathPrefix: string): unknown => ({ host, pathPrefix });
  const declaration = {
    routes: {
      root: route('a', '/'), deep: route('a', '/x/y/'), flat: route('a', '/x/'), other: route('b', '/x/'),
    },
  } as unknown as Declaration;
  const cases: [string, string, string | undefined][] = [
    ['a', '/x/y/1', 'deep'], ['a', '/x/1', 'flat'], ['a', '/z', 'root'], ['b', '/z', undefined],
    ['c', '/x/1', undefined], ['b', '/x/1?q', 'other'],
  ];
  cases.forEach(([host, path, name]) => {
    assert.equal(matchDeclaredRoute(declaration, host, path)?.[0], name);
  });
});

test('requests that cannot get a slot in time are refused on arrival', () => {
  const admission = new AdmissionControl();
  // One slot every 50 ms: five ahead already wait too long for a target latency of 600 ms.
  for (let atMs = 0; atMs <= 1000; atMs += 50) admission.recordDispatch(atMs);
  const bounds = { targetLatencyMs: 600, remainingMs: 4000 };
  assert.equal(admission.mayWait({ ...bounds, ahead: 2 }, 1000), true);
  assert.equal(admission.mayWait({ ...bounds, ahead: 6 }, 1000), false);
});

test('retries of refused callers are spread over the time that the queue needs to drain', () => {
  const admission = new AdmissionControl();
  for (let atMs = 0; atMs <= 1000; atMs += 50) admission.recordDispatch(atMs);
  const first = admission.retryAfterMs(6, 0, 1000);
  const last = admission.retryAfterMs(6, 1, 1000);
  assert.ok(first >= 250 && last >= 1.9 * first);
});

test('a target that refuses half of its requests costs more than a busy one', () => {
  const refusing = createTarget('refusing', {}, 4);
  for (let count = 0; count < 8; count += 1) recordRejection(refusing, count % 2 === 0, 0);
  const working = createTarget('working', { running: 1 }, 4);
  assert.ok(estimateCost(refusing, 1.5, 5) > estimateCost(working, 1.5, 5));
});

test('the reject share decays while a target gets no requests', () => {
  const target = createTarget('a', {});
  recordRejection(target, true, 0);
  assert.ok(estimateRejectShare(target, 10 * placementLimits.rejectHalfLifeMs) < 0.001);
});

test('only idle connections that are close to expiry and in use are refreshed', () => {
  const common = { idleTimeoutMs: 10_000, lastAskedAtMs: 0 };
  const targets = [
    { ...createTarget('due'), ...common, lastSentAtMs: 1000 },
    { ...createTarget('fresh'), ...common, lastSentAtMs: 6000 },
    { ...createTarget('closed'), ...common, lastSentAtMs: -5000 },
    {
      ...createTarget('silent about it'), ...common, idleTimeoutMs: undefined, lastSentAtMs: 1000,
    },
    {
      ...createTarget('not asked'), ...common, lastAskedAtMs: -100_000, lastSentAtMs: 1000,
    },
  ];
  assert.deepEqual(selectKeepAliveTargets(targets, 7500).map(({ record }) => record.id), ['due']);
});

test('only the targets of highest affinity keep an idle connection', () => {
  const targets = Array.from({ length: 30 }, (_, index) => ({
    ...createTarget(`t${index}`), idleTimeoutMs: 10_000, lastSentAtMs: 0, lastAskedAtMs: 0,
  }));
  assert.equal(selectKeepAliveTargets(targets, 7000).length, placementLimits.keepAliveTargets);
});
