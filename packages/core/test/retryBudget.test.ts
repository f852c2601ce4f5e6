import assert from 'node:assert/strict';
import { test } from 'node:test';
import { serialize } from 'node:v8';

import fc from 'fast-check';

import findWorstRepeats from '@guavayard/emulator/findWorstRepeats';

import countAssuredRequests from '../src/placement/countAssuredRequests';
import EntryShareTracker from '../src/placement/EntryShareTracker';
import RetryBudget from '../src/placement/RetryBudget';
import BudgetModel from './support/BudgetModel';

const SEED = 1;
const WINDOW_MS = 10_000;
const END_MS = 60_000;
/** Time from which entries are disturbed, once all have a full share, in milliseconds. */
const DISTURBED_MS = 20_000;

const time = fc.integer({ min: DISTURBED_MS, max: DISTURBED_MS + 12_000 });
const share = fc.constantFrom(1, 0.94, 0.75, 0.5, 0.25, 0.01);
const disturbances = fc.record({
  events: fc.array(fc.record({
    atMs: time,
    kind: fc.constantFrom('kill' as const, 'kill' as const, 'freeze' as const, 'cutOff' as const),
    share,
    skipped: fc.constantFrom(0, 0, 0.25, 0.5),
    forMs: fc.constantFrom(1000, 3500, 12_000, 25_000),
    gapMs: fc.constantFrom(0, 0, 0, 150, 600),
  }), { minLength: 1, maxLength: 6 }),
  controlStartsMs: fc.array(time, { maxLength: 2 }),
  failures: fc.array(fc.record({
    fromMs: fc.integer({ min: DISTURBED_MS - 3000, max: DISTURBED_MS + 25_000 }),
    forMs: fc.constantFrom(3000, 10_000, END_MS),
  }), { minLength: 1, maxLength: 4 }),
});

// Guards against entries that retry more than all of them may, as they forget and do not know.
([
  { entries: 4, rate: 20, runs: 150 },
  { entries: 4, rate: 2, runs: 150 },
  { entries: 18, rate: 5, runs: 100 },
  { entries: 18, rate: 0.5, runs: 100 },
  { entries: 311, rate: 1, runs: 12 },
  { entries: 311, rate: 0.2, runs: 12 },
]).forEach(({ entries, rate, runs }) => {
  test(`${entries} entries with ${rate} requests a second keep the retry budget together, seed ${SEED}`, () => {
    fc.assert(fc.property(disturbances, (drawn) => {
      const model = new BudgetModel(entries, rate, (index) => (index % 4) * 250);
      const { repeats, allowed } = model.run(END_MS, drawn);
      assert.ok(repeats <= allowed, `${repeats} repeats, ${allowed} allowed`);
    }), { seed: SEED, numRuns: runs });
  });
});

test('entries that remain do not use the shares of those that control has just lost', () => {
  const { repeats, allowed } = new BudgetModel(4, 4, () => 0).run(END_MS, {
    events: [{
      atMs: DISTURBED_MS + 2000, kind: 'cutOff', share: 0.75, skipped: 0, forMs: 25_000, gapMs: 0,
    }],
    controlStartsMs: [],
    failures: [{ fromMs: DISTURBED_MS, forMs: END_MS }],
  });
  assert.ok(repeats <= allowed, `${repeats} repeats, ${allowed} allowed`);
});

test('entries that run for long use most of the retry budget', () => {
  const { repeats, allowed } = new BudgetModel(8, 10, () => 0).run(END_MS, {
    events: [], controlStartsMs: [], failures: [{ fromMs: DISTURBED_MS, forMs: END_MS }],
  });
  assert.ok(repeats > 0.7 * allowed, `${repeats} repeats, ${allowed} allowed`);
});

test('an entry with few requests retries one of them', () => {
  const budget = new RetryBudget({
    ratio: 0.2, slack: 60, windowMs: WINDOW_MS, startedAtMs: -WINDOW_MS,
  });
  [0, 1, 2, 3, 4].forEach((atMs) => budget.recordFirst(atMs));
  assert.ok(budget.take(5, { entryCount: 311, sinceMs: -WINDOW_MS }) !== undefined);
});

test('a new process earns retries with its requests', () => {
  const budget = new RetryBudget({
    ratio: 0.2, slack: 60, windowMs: WINDOW_MS, startedAtMs: 0,
  });
  const isTaken = Array.from({ length: 36 }, (_, index) => {
    budget.recordFirst(index);
    return budget.take(index, undefined) !== undefined;
  });
  assert.equal(isTaken.filter(Boolean).length, 3);
});

test('a retry that was not sent returns to the budget', () => {
  const budget = new RetryBudget({
    ratio: 0, slack: 2, windowMs: WINDOW_MS, startedAtMs: -WINDOW_MS,
  });
  const whole = { entryCount: 1, sinceMs: -WINDOW_MS };
  const grant = budget.take(0, whole);
  assert.equal(budget.hasLeft(20_000, whole), false, 'a retry that waits counts');
  grant?.release();
  assert.equal(budget.hasLeft(20_000, whole), true);
  budget.take(20_000, whole)?.recordSent(25_000);
  assert.equal(budget.hasLeft(34_999, whole), false);
  assert.equal(budget.hasLeft(35_000, whole), true);
});

test('an entry has no share before the first roster and without control', () => {
  const tracker = new EntryShareTracker(WINDOW_MS);
  tracker.recordContact(0);
  assert.equal(tracker.findShare(0), undefined);
  assert.equal(tracker.findCount(0), undefined);
  tracker.recordCount(4, 100);
  assert.deepEqual(tracker.findShare(2600), { entryCount: 4, sinceMs: 100 });
  assert.equal(tracker.findShare(2601), undefined);
  assert.equal(tracker.findCount(2601), 4);
  tracker.recordContact(2601);
  assert.deepEqual(tracker.findShare(2601), { entryCount: 4, sinceMs: 2601 });
});

test('a share grows a window after the roster has shrunk, and shrinks at once', () => {
  const tracker = new EntryShareTracker(WINDOW_MS);
  [[4, 0], [2, 1000], [3, 2000]].forEach(([count = 0, atMs = 0]) => (
    tracker.recordCount(count, atMs)));
  assert.equal(tracker.findCount(2000), 4);
  assert.equal(tracker.findCount(10_999), 4);
  assert.equal(tracker.findCount(11_000), 3);
  tracker.recordCount(9, 11_001);
  assert.equal(tracker.findCount(11_001), 9);
});

// Guards against memory that grows with each request to a service whose requests are not retried.
test('first attempts are forgotten after two windows without any retry', () => {
  const budget = new RetryBudget({
    ratio: 0.2, slack: 60, windowMs: WINDOW_MS, startedAtMs: 0,
  });
  const measure = (fromMs: number): number => {
    for (let atMs = fromMs; atMs < fromMs + 2 * WINDOW_MS; atMs += 10) budget.recordFirst(atMs);
    return serialize(budget).byteLength;
  };
  const bytes = measure(10 * WINDOW_MS);
  assert.equal(measure(12 * WINDOW_MS), bytes);
});

/** @returns the processor time of checks with requests in the window, in microseconds */
function measureChecks(requests: number): number {
  const budget = new RetryBudget({
    ratio: 0.2, slack: 60, windowMs: WINDOW_MS, startedAtMs: -WINDOW_MS,
  });
  const whole = { entryCount: 8, sinceMs: -WINDOW_MS };
  for (let index = 0; index < requests; index += 1) {
    const atMs = (index * WINDOW_MS) / requests;
    budget.recordFirst(atMs);
    if (index % 7 === 0) budget.take(atMs, whole)?.recordSent(atMs);
  }
  const before = process.cpuUsage();
  for (let check = 0; check < 500; check += 1) budget.hasLeft(WINDOW_MS, whole);
  const { user, system } = process.cpuUsage(before);
  return user + system;
}

// Guards against entries that are busy with the budget while many of their requests fail.
test('the time of a check does not grow with the square of the requests', () => {
  measureChecks(4000);
  const few = measureChecks(4000);
  const many = measureChecks(32_000);
  assert.ok(many < 24 * few, `${few} and ${many} microseconds`);
});

// Guards against retries that two bursts of callers allow, where their window has only one burst.
[5000, 6500, 7500, 8500, 10_100].forEach((gapMs) => {
  test(`bursts of callers every ${gapMs} ms keep the retry budget`, () => {
    const bounds = { ratio: 0.2, slack: 60, windowMs: WINDOW_MS };
    const budget = new RetryBudget({ ...bounds, startedAtMs: -WINDOW_MS });
    const whole = { entryCount: 1, sinceMs: -WINDOW_MS };
    const sentAtMs: number[] = [];
    const arrivals = [{ id: 'a', atMs: -WINDOW_MS }];
    for (let atMs = 0; atMs < END_MS; atMs += 50) {
      for (let count = 0; atMs % gapMs < 200 && count < 250; count += 1) {
        sentAtMs.push(atMs);
        budget.recordFirst(atMs);
      }
      while (atMs % gapMs >= 1000 && budget.hasLeft(atMs, whole)) {
        budget.take(atMs, whole)?.recordSent(atMs);
        arrivals.push({ id: 'a', atMs });
      }
    }
    const { repeats, allowed } = findWorstRepeats(sentAtMs, arrivals, bounds);
    assert.ok(arrivals.length > 100);
    assert.ok(repeats <= allowed, `${repeats} repeats, ${allowed} allowed`);
  });
});

test(`requests count for a retry if they do in each window that it may be in, seed ${SEED}`, () => {
  const nowMs = 2 * WINDOW_MS;
  const times = fc.array(fc.integer({ min: 0, max: nowMs }), { maxLength: 40 });
  fc.assert(fc.property(times, fc.integer({ min: WINDOW_MS + 1, max: nowMs }), (drawn, fromMs) => {
    const timesMs = [...drawn].sort((a, b) => a - b);
    const count = (startMs: number): number => (
      timesMs.filter((atMs) => atMs >= startMs && atMs < startMs + WINDOW_MS).length);
    assert.ok(countAssuredRequests(timesMs, nowMs, WINDOW_MS)
      <= Math.max(count(fromMs), count(fromMs - WINDOW_MS / 2), count(fromMs - WINDOW_MS)));
  }), { seed: SEED, numRuns: 2000 });
});
