import assert from 'node:assert/strict';
import { test } from 'node:test';

import beginProbe from '../src/probing/beginProbe';
import createProbeLedger from '../src/probing/createProbeLedger';
import finishProbe from '../src/probing/finishProbe';
import measureShare from '../src/probing/measureShare';
import probeBudget from '../src/probing/probeBudget';

/** Performance goal: probes take at most this share of a target's slot time. */
const MAX_SHARE = 0.01;
const HOURS_MS = 3 * 3_600_000;
const OWNER_CHANGE_MS = 60_000;
const TICK_MS = 50;
const SEED = 11;

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

const cases = [
  { name: 'fast probes', slots: 2, slowestMs: 6 },
  { name: 'slow probes', slots: 2, slowestMs: 400 },
  { name: 'many slots', slots: 64, slowestMs: 20 },
  { name: 'one slot that often times out', slots: 1, slowestMs: 1000 },
];

cases.forEach(({ name, slots, slowestMs }) => {
  test(`${name} stay within 1% of slot time across hours and owner changes, seed ${SEED}`, () => {
    const random = createRandom(SEED);
    let ledger = createProbeLedger(0);
    let ownedSinceMs = 0;
    let spentMs = 0;
    let probes = 0;
    for (let nowMs = 0; nowMs < HOURS_MS; nowMs += TICK_MS) {
      if (nowMs - ownedSinceMs >= OWNER_CHANGE_MS) {
        ledger = createProbeLedger(nowMs);
        ownedSinceMs = nowMs;
      }
      if (beginProbe(ledger, slots, nowMs)) {
        const costMs = Math.min(probeBudget.timeoutMs, Math.max(6, random() * slowestMs));
        finishProbe(ledger, costMs);
        spentMs += costMs;
        probes += 1;
      }
    }
    const share = spentMs / (slots * HOURS_MS);
    assert.ok(probes > 0);
    assert.ok(share <= MAX_SHARE, `${share} of the slot time`);
    assert.ok(measureShare(ledger, slots, HOURS_MS) <= MAX_SHARE);
  });
});

test('only one probe runs at a time, and only when the budget covers it', () => {
  const ledger = createProbeLedger(0);
  assert.equal(beginProbe(ledger, 2, 1499), false);
  assert.equal(beginProbe(ledger, 2, 1500), true);
  assert.equal(beginProbe(ledger, 2, 3_600_000), false);
  finishProbe(ledger, 6);
  assert.equal(beginProbe(ledger, 2, 3_600_000 + 299), false);
  assert.equal(beginProbe(ledger, 2, 3_600_000 + 300), true);
});
