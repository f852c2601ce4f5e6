import assert from 'node:assert/strict';
import { test } from 'node:test';

import CountRing from '../src/objectives/CountRing';
import createBurnReport from '../src/objectives/createBurnReport';
import type EntryCounts from '../src/objectives/EntryCounts';
import judgeRequest from '../src/objectives/judgeRequest';
import ObjectiveRecorder from '../src/objectives/ObjectiveRecorder';
import type RequestRecord from '../src/objectives/RequestRecord';
import Configuration from '../src/types/Configuration';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;

const CONFIGURATION = Configuration.parse({
  services: {
    listing: {
      objectives: { availability: 0.99, latency: { thresholdMs: 100, share: 0.9 } },
    },
  },
});

const RECORD: RequestRecord = {
  requestId: 'r',
  startedAtMs: 0,
  serviceName: 'listing',
  homeRegions: undefined,
  targetDataCentre: 'munster-1',
  failure: undefined,
  isRelayed: false,
};

interface JudgedCase {
  readonly name: string;
  readonly record?: Partial<RequestRecord>;
  readonly status?: number;
  readonly isComplete?: boolean;
  readonly latencyMs?: number;
  readonly kind: string;
}

const JUDGED: readonly JudgedCase[] = [
  { name: 'a quick answer is good', kind: 'good' },
  { name: 'an answer at the threshold is good', latencyMs: 100, kind: 'good' },
  { name: 'an answer past the threshold is slow', latencyMs: 101, kind: 'slow' },
  { name: 'a target\'s 4xx is good', status: 404, kind: 'good' },
  { name: 'a target\'s 5xx is unavailable', status: 500, kind: 'unavailable' },
  {
    name: 'a refusal of the system is unavailable', record: { failure: 'noTarget' }, status: 503, kind: 'unavailable',
  },
  {
    name: 'an answer cut by the target is unavailable', record: { failure: 'targetFailed' }, isComplete: false, kind: 'unavailable',
  },
  {
    name: 'a mistake of the caller is ignored', record: { failure: 'noRoute' }, status: 404, kind: 'ignored',
  },
  { name: 'a caller that left is ignored', isComplete: false, kind: 'ignored' },
  { name: 'an answer of another entry is ignored', record: { isRelayed: true }, kind: 'ignored' },
];

JUDGED.forEach(({
  name, record, status = 200, isComplete = true, latencyMs = 10, kind,
}) => {
  test(name, () => {
    const request = {
      record: { ...RECORD, ...record }, status, isComplete, latencyMs,
    };
    const { objectives } = CONFIGURATION.services.listing ?? {};
    assert.equal(judgeRequest(request, objectives).kind, kind);
  });
});

test('a ring sums the buckets of a window and forgets older ones', () => {
  const ring = new CountRing(MINUTE_MS, 5);
  ring.add(0);
  ring.add(2 * MINUTE_MS);
  ring.add(2 * MINUTE_MS + 1);
  assert.equal(ring.sum(2 * MINUTE_MS, 3 * MINUTE_MS), 3);
  assert.equal(ring.sum(2 * MINUTE_MS, MINUTE_MS), 2);
  assert.deepEqual(ring.values(5 * MINUTE_MS, 5), [0, 2, 0, 0, 0]);
  assert.equal(ring.sum(1000 * MINUTE_MS, 5 * MINUTE_MS), 0);
});

function countRequests(
  bad: Partial<RequestRecord>,
  badCount: number,
  goodCount: number,
  ageMs: number,
): EntryCounts {
  let nowMs = 100 * HOUR_MS - ageMs;
  const recorder = new ObjectiveRecorder(() => nowMs, () => CONFIGURATION);
  const add = (record: Partial<RequestRecord>): void => {
    recorder.record({ ...RECORD, startedAtMs: nowMs - 10, ...record }, 200, true);
  };
  Array.from({ length: badCount }).forEach(() => add(bad));
  Array.from({ length: goodCount }).forEach(() => add({}));
  nowMs = 100 * HOUR_MS;
  return {
    entry: 'vm-1', dataCentre: 'munster-1', uptimeMs: nowMs, services: recorder.read(),
  };
}

interface BurnCase {
  readonly name: string;
  readonly bad: number;
  readonly good: number;
  readonly ageMs: number;
  /** Burn rates over 5 min, 30 min, 1 h, 6 h and 3 d. */
  readonly rates: readonly number[];
  readonly firing: readonly string[];
}

const BURNS: readonly BurnCase[] = [
  {
    name: 'no fault burns nothing', bad: 0, good: 10, ageMs: 0, rates: [0, 0, 0, 0, 0], firing: [],
  },
  {
    name: 'two in a hundred burn at 2', bad: 2, good: 98, ageMs: 0, rates: [2, 2, 2, 2, 2], firing: ['ticket'],
  },
  {
    name: 'one in two pages over every pair', bad: 5, good: 5, ageMs: 0, rates: [50, 50, 50, 50, 50], firing: ['page', 'page', 'ticket'],
  },
  {
    name: 'a fault that is over pages no more', bad: 5, good: 5, ageMs: 45 * MINUTE_MS, rates: [0, 0, 50, 50, 50], firing: ['ticket'],
  },
  {
    name: 'a fault of two days ago is only in the longest window', bad: 5, good: 5, ageMs: 48 * HOUR_MS, rates: [0, 0, 0, 0, 50], firing: [],
  },
];

BURNS.forEach(({
  name, bad, good, ageMs, rates, firing,
}) => {
  test(name, () => {
    const counts = countRequests({ failure: 'noTarget' }, bad, good, ageMs);
    const [burn] = createBurnReport(CONFIGURATION, [counts], []).services[0]?.burns ?? [];
    assert.deepEqual(burn?.windows.map(({ burnRate }) => Number(burnRate.toFixed(6))), rates);
    const alerts = burn?.alerts.filter((alert) => alert.isFiring).map((alert) => alert.severity);
    assert.deepEqual(alerts, firing);
  });
});

test('a slow answer burns the latency budget only, and the report names its data centre', () => {
  const counts = countRequests({ startedAtMs: 100 * HOUR_MS - 1000 }, 1, 9, 0);
  const report = createBurnReport(CONFIGURATION, [counts, counts], ['vm-3']);
  const [service] = report.services;
  assert.deepEqual(service?.burns.map((burn) => [burn.objective, burn.windows[0]?.total, burn.windows[0]?.bad]), [['availability', 20, 0], ['latency', 20, 2]]);
  assert.deepEqual(service?.causes, [
    { cause: 'slow', dataCentre: 'munster-1', counts: [2, 2, 2, 2, 2] },
  ]);
  assert.ok(Math.abs((service?.latencyMs.p50 ?? 0) - 10) < 0.2);
  assert.ok(Math.abs((service?.latencyMs.p999 ?? 0) - 1000) < 20);
  assert.deepEqual(report.silent, ['vm-3']);
});
