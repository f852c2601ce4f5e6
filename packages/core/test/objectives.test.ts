import assert from 'node:assert/strict';
import { test } from 'node:test';

import CountRing from '../src/objectives/CountRing';
import createBurnReport from '../src/objectives/createBurnReport';
import type EntryCounts from '../src/objectives/EntryCounts';
import classifyRequest from '../src/objectives/classifyRequest';
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

interface ClassificationCase {
  readonly name: string;
  readonly record?: Partial<RequestRecord>;
  readonly status?: number;
  readonly isComplete?: boolean;
  readonly latencyMs?: number;
  readonly kind: string;
}

const CLASSIFICATION_CASES: readonly ClassificationCase[] = [
  { name: 'classifies a fast response as good', kind: 'good' },
  { name: 'classifies a response at the threshold as good', latencyMs: 100, kind: 'good' },
  { name: 'classifies a response above the threshold as slow', latencyMs: 101, kind: 'slow' },
  { name: 'classifies a 4xx response of a target as good', status: 404, kind: 'good' },
  { name: 'classifies a 5xx response of a target as unavailable', status: 500, kind: 'unavailable' },
  {
    name: 'classifies a refusal by the load balancer as unavailable', record: { failure: 'noTarget' }, status: 503, kind: 'unavailable',
  },
  {
    name: 'classifies a response truncated by the target as unavailable', record: { failure: 'targetFailed' }, isComplete: false, kind: 'unavailable',
  },
  {
    name: 'ignores an error of the caller', record: { failure: 'noRoute' }, status: 404, kind: 'ignored',
  },
  { name: 'ignores a request whose caller disconnected', isComplete: false, kind: 'ignored' },
  { name: 'ignores a request relayed to another entry', record: { isRelayed: true }, kind: 'ignored' },
];

CLASSIFICATION_CASES.forEach(({
  name, record, status = 200, isComplete = true, latencyMs = 10, kind,
}) => {
  test(name, () => {
    const request = {
      record: { ...RECORD, ...record }, status, isComplete, latencyMs,
    };
    const { objectives } = CONFIGURATION.services.listing ?? {};
    assert.equal(classifyRequest(request, objectives).kind, kind);
  });
});

test('a count ring sums the buckets of a window and drops older ones', () => {
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
  /** Expected burn rates over 5 min, 30 min, 1 h, 6 h and 3 d. */
  readonly rates: readonly number[];
  readonly firing: readonly string[];
}

const BURN_CASES: readonly BurnCase[] = [
  {
    name: 'burns no budget without errors', bad: 0, good: 10, ageMs: 0, rates: [0, 0, 0, 0, 0], firing: [],
  },
  {
    name: 'burns at rate 2 with 2% errors', bad: 2, good: 98, ageMs: 0, rates: [2, 2, 2, 2, 2], firing: ['ticket'],
  },
  {
    name: 'fires all alerts with 50% errors', bad: 5, good: 5, ageMs: 0, rates: [50, 50, 50, 50, 50], firing: ['page', 'page', 'ticket'],
  },
  {
    name: 'stops paging after errors have ended', bad: 5, good: 5, ageMs: 45 * MINUTE_MS, rates: [0, 0, 50, 50, 50], firing: ['ticket'],
  },
  {
    name: 'counts errors from two days ago only in the longest window', bad: 5, good: 5, ageMs: 48 * HOUR_MS, rates: [0, 0, 0, 0, 50], firing: [],
  },
];

BURN_CASES.forEach(({
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

test('a slow response burns only the latency budget and is reported with its data centre', () => {
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
