import assert from 'node:assert/strict';
import { test } from 'node:test';

import calculateLimitShare from '../src/requestLimit/calculateLimitShare';
import estimateLimitWait from '../src/requestLimit/estimateLimitWait';
import findSharingEntries from '../src/requestLimit/findSharingEntries';
import isLimitHolder from '../src/requestLimit/isLimitHolder';
import type RequestLimit from '../src/requestLimit/RequestLimit';
import setAllowance from '../src/requestLimit/setAllowance';
import type DeclaredRoute from '../src/registry/DeclaredRoute';

const WINDOW_MS = 4000;
const TICK_MS = 20;

function createLimit(requestsPerSecond: number): RequestLimit {
  return {
    requestsPerSecond, allowance: undefined, statedAtMs: 0, sharedAtMs: 0, isInProbes: false,
  };
}

/** Gives each entry its share of the limit of one target. */
function share(
  limits: ReadonlyMap<string, RequestLimit>,
  names: readonly string[],
  nowMs: number,
): void {
  limits.forEach((limit, name) => {
    const part = calculateLimitShare(limit.requestsPerSecond, names.length);
    setAllowance(limit, isLimitHolder('i-1', part.holders, names, name) ? part : undefined, nowMs);
  });
}

/** Lets every entry send whenever its share allows it; returns the times of the requests. */
function send(
  limits: ReadonlyMap<string, RequestLimit>,
  fromMs: number,
  untilMs: number,
): number[] {
  const sentAtMs: number[] = [];
  for (let nowMs = fromMs; nowMs < untilMs; nowMs += TICK_MS) {
    limits.forEach(({ allowance }) => {
      if (allowance?.tryTake(1, nowMs) === true) sentAtMs.push(nowMs);
    });
  }
  return sentAtMs;
}

function countMost(atMs: readonly number[]): number {
  return Math.max(0, ...atMs.map((startMs) => (
    atMs.filter((each) => each >= startMs && each < startMs + WINDOW_MS).length)));
}

function createEntries(names: readonly string[], limit: number): Map<string, RequestLimit> {
  return new Map(names.map((name) => [name, createLimit(limit)]));
}

function createRoute(homeRegions?: string[]): DeclaredRoute {
  return {
    host: 'shop.example',
    pathPrefix: '/',
    isIdempotent: true,
    timeoutMs: 1000,
    targetLatencyMs: 500,
    priority: 0,
    maxAttempts: 2,
    backends: [{ service: 'lots', weight: 1 }],
    ...(homeRegions === undefined ? {} : { homeRegions }),
  };
}

test('entries that all send as much as they may keep the limit of a target together', () => {
  [1, 2, 6, 19, 104, 311].forEach((count) => {
    [0.3, 1, 1.2, 2.5, 10, 60].forEach((limit) => {
      const names = Array.from({ length: count }, (_, index) => `10.0.0.${index}`);
      const limits = createEntries(names, limit);
      share(limits, names, 0);
      const sentAtMs = send(limits, 0, 20_000);
      const most = countMost(sentAtMs);
      const allowed = 1.5 * limit * (WINDOW_MS / 1000) + 5;
      assert.ok(most <= allowed, `${count} entries, limit ${limit}: ${most} of ${allowed}`);
      assert.ok(sentAtMs.length >= 0.8 * limit * 20 - 3, `${count} entries, limit ${limit}: ${sentAtMs.length}`);
    });
  });
});

test('the limit holds while a third of the entries leaves and comes back each second', () => {
  const limit = 1;
  const names = Array.from({ length: 30 }, (_, index) => `10.0.0.${index}`);
  const limits = createEntries(names, limit);
  const sentAtMs: number[] = [];
  for (let second = 0; second < 20; second += 1) {
    const present = names.filter((_, index) => index % 3 !== second % 3);
    share(limits, present, second * 1000);
    sentAtMs.push(...send(limits, second * 1000, (second + 1) * 1000));
  }
  assert.ok(countMost(sentAtMs) <= 1.5 * limit * 4 + 5, String(countMost(sentAtMs)));
});

test('an entry that the roster does not list has no share', () => {
  assert.equal(isLimitHolder('i-1', 3, ['10.0.0.1'], '10.0.0.2'), false);
  assert.equal(isLimitHolder('i-1', 3, [], '10.0.0.2'), false);
  assert.equal(isLimitHolder('i-1', 1, ['10.0.0.2'], '10.0.0.2'), true);
});

test('a new share starts empty, a changed one keeps what it has', () => {
  const limit = createLimit(1);
  setAllowance(limit, { holders: 1, requestsPerSecond: 1, burst: 2 }, 0);
  assert.equal(limit.allowance?.available(0), 0);
  assert.equal(limit.allowance.available(1500), 1.5);
  setAllowance(limit, { holders: 2, requestsPerSecond: 0.5, burst: 2 }, 1500);
  assert.equal(limit.allowance.available(1500), 1.5);
});

test('a target that takes nothing is asked rarely enough to notice when it withdraws its limit', () => {
  const names = ['10.0.0.1', '10.0.0.2'];
  const limits = createEntries(names, 0);
  share(limits, names, 0);
  const sent = send(limits, 0, 60_000).length;
  assert.ok(sent >= 1 && sent <= 10, String(sent));
});

test('the entries of a region share a limit, with those whose callers depend on its targets', () => {
  const entries = [
    { name: 'a', region: 'munster' }, { name: 'b', region: 'leinster' }, { name: 'c', region: 'connacht' },
  ];
  const everywhere = new Set(['munster', 'leinster', 'connacht']);
  const target = { service: 'lots', region: 'munster' };
  const find = (routes: DeclaredRoute[], regions: Set<string>): string[] => (
    findSharingEntries(target, entries, routes, regions));
  assert.deepEqual(find([createRoute()], everywhere), ['a']);
  assert.deepEqual(find([createRoute(['munster', 'leinster'])], everywhere), ['a', 'c']);
  assert.deepEqual(find([createRoute(['leinster'])], everywhere), ['a']);
  assert.deepEqual(find([createRoute()], new Set(['munster', 'leinster'])), ['a', 'c']);
  const others = entries.slice(1);
  assert.deepEqual(findSharingEntries(target, others, [createRoute()], everywhere), ['b', 'c']);
});

test('callers that find all limits used up are told different times, by the rate of the entry', () => {
  const limit = createLimit(1);
  setAllowance(limit, { holders: 1, requestsPerSecond: 1, burst: 2 }, 0);
  const waits = [0, 1, 2].map((before) => estimateLimitWait([limit], before, 10, 500));
  assert.deepEqual(waits, [500, 1500, 2500]);
  // Without a share, the interval at which each of ten entries could serve one.
  assert.equal(estimateLimitWait([createLimit(5)], 0, 10, 0), 2000);
  assert.equal(estimateLimitWait([], 0, 10, 0), undefined);
});
