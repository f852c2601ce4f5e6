import assert from 'node:assert/strict';
import { test } from 'node:test';

import EntryQuota from '@guavayard/core/quota/EntryQuota';
import FallbackQuota from '@guavayard/core/quota/FallbackQuota';
import hasQuota from '@guavayard/core/quota/hasQuota';
import QuotaBoard from '@guavayard/core/quota/QuotaBoard';
import ShareDiffusion from '@guavayard/core/quota/ShareDiffusion';
import TenantLevel from '@guavayard/core/quota/TenantLevel';
import UsageLedger from '@guavayard/core/quota/UsageLedger';
import WindowCount from '@guavayard/core/quota/WindowCount';

const RULE = { windowMs: 5000, overage: 0.1, slack: 20 };
const TENANT = { name: 'acme', ratePerSecond: 100, burst: 100 };

function createBoard(startedAtMs: number, tenants = [TENANT]): QuotaBoard {
  return new QuotaBoard({ rule: RULE, tenants: () => tenants, startedAtMs });
}

function createEntry(): EntryQuota {
  const entry = new EntryQuota({ rule: RULE, random: () => 0.5 });
  entry.setPlace({ index: 0, count: 132 });
  entry.setFollowing(true, 0);
  return entry;
}

test('a rate or a burst of 0 is no limit', () => {
  assert.deepEqual([
    hasQuota(TENANT), hasQuota({ ...TENANT, ratePerSecond: 0 }), hasQuota({ ...TENANT, burst: 0 }),
  ], [true, false, false]);
});

// Guards against a share that single entries, with a request a second each, miss by chance.
test('a share is spread over requests to within one', () => {
  [0, 0.1, 0.37, 0.99, 1].forEach((share) => {
    const diffusion = new ShareDiffusion(0.5);
    let admitted = 0;
    for (let asked = 1; asked <= 1000; asked += 1) {
      if (diffusion.next(share)) admitted += 1;
      assert.ok(Math.abs(admitted - asked * share) < 1, `${admitted} of ${asked}, share ${share}`);
    }
  });
});

test('a window counts what lies in it', () => {
  const window = new WindowCount(5000);
  window.add(3, 1000, 1000);
  window.add(4, 4000, 4000);
  window.add(9, -2000, 4000);
  assert.deepEqual([window.sumAt(5000), window.sumAt(6500), window.sumAt(9500)], [7, 4, 0]);
});

// Guards against a tenant that stays refused for minutes after a partition.
test('a debt is bounded and refills', () => {
  const level = new TenantLevel(TENANT, RULE, 0, true);
  level.record([10_000, 10_000], 0);
  assert.equal(level.tokensAt(0), -600);
  assert.ok(level.tokensAt(7000) > 0);
});

test('a lower limit scales the level, a higher one adds nothing at once', () => {
  const level = new TenantLevel(TENANT, RULE, 0, true);
  const full = level.tokensAt(0);
  level.setLimit({ ...TENANT, ratePerSecond: 10, burst: 10 }, 0);
  const lower = level.tokensAt(0);
  assert.ok(lower < full / 2 && lower > 0, `${lower}`);
  level.setLimit(TENANT, 0);
  assert.equal(level.tokensAt(0), lower);
});

// Guards against callers that all return at once and are refused again.
test('the retry delay grows with the demand and ends at the rate', () => {
  const delays = [110, 200, 1000].map((demand) => {
    const level = new TenantLevel(TENANT, RULE, 0, true);
    for (let atMs = 0; atMs < 6000; atMs += 10) {
      const [share] = level.calculateShare(atMs);
      level.record([demand / 100, (demand / 100) * share], atMs);
    }
    return level.calculateShare(6000)[1];
  });
  assert.deepEqual(delays, [...delays].sort((a, b) => a - b));
  assert.equal(new Set(delays).size, delays.length, delays.join());
  assert.ok(Math.max(...delays) <= 5000, delays.join());
});

// Guards against 132 entries that each take the one request they have no share of.
test('without control all entries together take the quota of a window in two slots', () => {
  [1, 10, 100].forEach((rate) => {
    const limit = { name: 'acme', ratePerSecond: rate, burst: rate };
    const entries = Array.from({ length: 132 }, () => (
      new FallbackQuota({ rule: RULE, unnoticedMs: 900, phase: 0.3 })));
    const taken = [1, 2].map((slot) => entries.flatMap((entry, index) => (
      Array.from({ length: 50 }, () => (
        entry.take(limit, { index, count: 132 }, -20_000, slot * RULE.windowMs)))
    )).filter((isTaken) => isTaken).length);
    taken.forEach((count) => assert.ok(Math.abs(count - 3 * rate) <= 1, `${count} at ${rate}/s`));
  });
});

test('an entry that does not know the others admits nothing without control', () => {
  const entry = createEntry();
  entry.setPlace(undefined);
  assert.equal(entry.decide(TENANT, 500).isAdmitted, true);
  assert.equal(entry.decide(TENANT, 1000).isAdmitted, false);
});

// Guards against an entry that is heard by no one, as its link is cut in one direction.
test('an entry whose reports are not confirmed counts as without control', () => {
  const entry = createEntry();
  assert.equal(entry.decide(TENANT, 0).isAdmitted, true);
  entry.ledger.take(50);
  entry.recordContact(2000);
  entry.setPlace(undefined);
  assert.equal(entry.decide(TENANT, 2000).isAdmitted, false);
  entry.ledger.confirm(1);
  assert.equal(entry.decide(TENANT, 2000).isAdmitted, true);
});

test('reports that are not confirmed are sent again, older ones than a window are not', () => {
  const ledger = new UsageLedger(RULE.windowMs);
  ledger.record('acme', [1, 1], 0);
  ledger.take(0);
  ledger.record('acme', [2, 1], 3000);
  ledger.take(3000);
  ledger.restart(false);
  assert.deepEqual(ledger.take(6000), {
    sequence: 3, ageMs: 3000, usage: { acme: [2, 1] },
  });
  assert.equal(ledger.take(6000), undefined);
  ledger.confirm(3);
  ledger.restart(false);
  assert.equal(ledger.take(6000), undefined);
  ledger.restart(true);
  assert.equal(ledger.take(6000)?.ageMs, 3000);
});

// Guards against control VMs that learn late of a surge at the entries of the others.
test('a surge is passed on at once, usual demand each quarter of a second', () => {
  const board = createBoard(-10_000);
  board.recordUsage({ acme: [1, 1] }, 0, 0);
  assert.ok(board.collectTotals(0) !== undefined);
  board.recordUsage({ acme: [7, 7] }, 0, 50);
  assert.equal(board.collectTotals(50), undefined);
  board.recordUsage({ acme: [1, 1] }, 0, 100);
  assert.deepEqual(board.collectTotals(100), { acme: [9, 9] });
  board.recordUsage({ acme: [1, 1] }, 0, 150);
  assert.equal(board.collectTotals(300), undefined);
  assert.deepEqual(board.collectTotals(350), { acme: [10, 10] });
});

// Guards against late and repeated messages that count twice.
test('totals of a control VM count once, whatever is lost or repeated', () => {
  const board = createBoard(-10_000);
  const level = (): number | undefined => board.createState(0).levels.acme;
  const full = level() ?? 0;
  board.recordTotals('b', 'start 1', { acme: [10, 10] }, 0);
  board.recordTotals('b', 'start 1', { acme: [10, 10] }, 0);
  board.recordTotals('b', 'start 1', { acme: [30, 30] }, 0);
  assert.equal(level(), full - 30);
  // After a restart of that VM.
  board.recordState('b', 'start 2', { uptimeMs: 10, totals: { acme: [5, 5] }, levels: {} }, 0);
  assert.equal(level(), full - 35);
});

test('a control VM that has just started takes over the level of one that has not', () => {
  const board = createBoard(0);
  assert.equal(board.needsHistory(100), true);
  board.recordUsage({ acme: [3, 3] }, 0, 100);
  const state = { uptimeMs: 60_000, totals: { acme: [900, 800] }, levels: { acme: -40 } } as const;
  board.recordState('b', 'start 1', { ...state, totals: { acme: [900, 800] } }, 100);
  assert.deepEqual([board.createState(100).levels.acme, board.needsHistory(100)], [-43, false]);
});

// Guards against the burst of a whole window after a loss of all control VMs.
test('what was admitted before a start limits the window after it', () => {
  const board = createBoard(0);
  const other = createBoard(0);
  board.recordUsage({ acme: [700, 700] }, 1000, 200);
  other.recordHistory(board.collectHistory(false, 200), 200);
  [board, other].forEach((each) => assert.equal(each.listShares(200).acme?.[0], 0));
  assert.deepEqual(board.collectHistory(false, 200), []);
  assert.equal(board.collectHistory(true, 200).length, 1);
});

test('without tenants with a rate a board has nothing to say', () => {
  const board = createBoard(-10_000, [{ ...TENANT, ratePerSecond: 0 }]);
  board.recordUsage({ acme: [1000, 1000] }, 0, 0);
  assert.deepEqual(
    [board.collectTotals(0), board.collectShares(0), board.isIdle, board.listShares(0)],
    [undefined, undefined, true, {}],
  );
});
