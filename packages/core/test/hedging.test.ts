import assert from 'node:assert/strict';
import { test } from 'node:test';

import hedgeLimits from '../src/hedging/hedgeLimits';
import isHedgeWorthwhile from '../src/hedging/isHedgeWorthwhile';
import planHedge from '../src/hedging/planHedge';
import RetryBudget from '../src/placement/RetryBudget';
import AttemptBudget from '../src/retries/AttemptBudget';
import createRandom from '../src/utils/createRandom';

const LATE = {
  sentAfterMs: 10,
  usualMs: 100,
  targetLatencyMs: 300,
  slownessAtStart: 1,
  elapsedMs: 150,
  slownessNow: 5,
  isSilent: false,
};

const DECISIONS: [string, Partial<typeof LATE> | { slownessNow: undefined }, boolean][] = [
  ['a target that turned slow is hedged', {}, true],
  ['a target at its usual speed is about to respond', { slownessNow: 1 }, false],
  ['a target that was slow at the start may keep the request slow', { slownessNow: 1, slownessAtStart: 5 }, true],
  ['a silent target is hedged', { slownessNow: 1, isSilent: true }, true],
  ['an attempt that is late for no known reason waits while it can be in time', { slownessNow: undefined }, false],
  ['an attempt that is late for no known reason is hedged at the last moment', { slownessNow: undefined, elapsedMs: 180 }, true],
  ['a hedge that would miss the target latency needs a great gain', { slownessNow: 2, elapsedMs: 220 }, false],
  ['a hedge that would miss the target latency may end long before', { elapsedMs: 220 }, true],
  ['an entry without samples takes a third of the target latency', { usualMs: undefined as never }, true],
];

DECISIONS.forEach(async ([name, change, expected]) => test(name, () => {
  assert.equal(isHedgeWorthwhile({ ...LATE, ...change }), expected);
}));

const PLANS: [string, Partial<typeof LATE>, number, number][] = [
  ['an attempt is checked once it is late', { usualMs: 80 }, 130, 195],
  ['an attempt is checked while a second one can be in time', { usualMs: 121, targetLatencyMs: 302 }, 156, 156],
  ['an attempt has its usual duration, however short the target latency is', { targetLatencyMs: 150 }, 110, 25],
  ['an attempt on a slow target is checked at once', { slownessAtStart: 5 }, 35, 175],
];

PLANS.forEach(async ([name, change, firstCheckMs, lastUsefulMs]) => test(name, () => {
  assert.deepEqual(planHedge({ ...LATE, ...change }), { firstCheckMs, lastUsefulMs });
}));

// Guards against a limit that holds on average only: entries add up to the share exactly.
test('hedges are at most their share of the first requests at any time', () => {
  const random = createRandom(7);
  [0.03, 0.1, 0.5, 1].forEach((limit) => {
    const share = new AttemptBudget(limit, 0, hedgeLimits.maxSaved);
    let firsts = 0;
    let hedges = 0;
    for (let step = 0; step < 5000; step += 1) {
      if (random() < 0.5) {
        firsts += 1;
        share.recordFirst();
      } else if (share.hasTokens()) {
        hedges += 1;
        share.take();
      }
      assert.ok(hedges <= limit * firsts + 1e-6);
    }
    assert.ok(hedges >= limit * firsts * 0.6);
  });
});

test('a quiet time earns a few hedges only', () => {
  const share = new AttemptBudget(1, 0, hedgeLimits.maxSaved);
  for (let request = 0; request < 100; request += 1) share.recordFirst();
  let hedges = 0;
  for (; share.hasTokens(); hedges += 1) share.take();
  assert.equal(hedges, 3);
});

function createBudget(): RetryBudget {
  const budget = new RetryBudget({
    ratio: 0.2, slack: 0, windowMs: 10_000, startedAtMs: -Infinity,
  });
  for (let atMs = -20_000; atMs < 0; atMs += 100) budget.recordFirst(atMs);
  return budget;
}

// Guards against retries of refused requests that find the budget spent on hedges.
test('hedges leave a part of the retry budget to retries', () => {
  const share = { entryCount: 1, sinceMs: -Infinity };
  const take = (budget: RetryBudget, isHedge: boolean): number => {
    let count = 0;
    for (let atMs = 0; atMs < 9000; atMs += 100) {
      const grant = budget.take(atMs, share, isHedge);
      grant?.recordSent(atMs);
      count += grant === undefined ? 0 : 1;
      budget.recordFirst(atMs);
    }
    return count;
  };
  const budget = createBudget();
  const retries = take(createBudget(), false);
  const hedges = take(budget, true);
  assert.ok(hedges > 0 && hedges <= 0.6 * retries + 1);
  let left = 0;
  while (budget.take(9000, share) !== undefined) left += 1;
  assert.ok(left >= 0.4 * retries - 1, `${left} of ${retries} beside ${hedges} hedges`);
});

// Guards against hedges that add to a budget that retries have spent.
test('no hedge is granted while retries have spent the budget', () => {
  const budget = createBudget();
  const share = { entryCount: 1, sinceMs: -Infinity };
  while (budget.hasLeft(0, share)) budget.take(0, share)?.recordSent(0);
  assert.equal(budget.take(0, share, true), undefined);
});
