import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';

import measureHedging from './support/measureHedging';

const REQUESTS = 6000;
const SHARE = 0.1;
/** Target latency of the route, in milliseconds. */
const TARGET_LATENCY_MS = 300;

type Options = Pick<Parameters<typeof measureHedging>[1], 'isProgressive' | 'hasVariedPhases'>;

/** Few requests at each of many entries, as in the deployments of docs/design/uneven-load.md. */
const QUIET = { ratePerS: 4, entries: 10 };
/** Load at which requests wait and some are refused: 0.83 of what the targets can serve. */
const BUSY = { ratePerS: 160, entries: 1 };

/** Plays the same load without and with hedging, and prints the figures. */
function compare(
  t: TestContext,
  options: Options,
  load = QUIET,
): ReturnType<typeof measureHedging>[] {
  return [undefined, SHARE].map((share) => {
    const figures = measureHedging(t, {
      ...options, ...load, share, requests: REQUESTS, seed: 1,
    });
    const outcomes = JSON.stringify(figures.outcomes);
    t.diagnostic(`share ${share ?? 'none'}: p50 ${figures.p50Ms}, p99 ${figures.p99Ms}, p99.9 ${figures.p999Ms} ms, late ${figures.lateShare.toFixed(4)}, added work ${figures.addedWork.toFixed(4)}, probes ${figures.probesPerRequest.toFixed(2)} ${outcomes}`);
    return figures;
  });
}

// Guards against hedges that come too late to help, or on targets that turn slow as well.
test('hedges answer most requests in time that slow phases of varied length would make late', (t) => {
  const [without, hedged] = compare(t, { isProgressive: true, hasVariedPhases: true });
  assert.ok(without !== undefined && hedged !== undefined);
  assert.ok(without.p99Ms > TARGET_LATENCY_MS);
  assert.ok(hedged.p99Ms <= TARGET_LATENCY_MS);
  assert.ok(hedged.lateShare <= without.lateShare / 2);
  assert.ok(hedged.p50Ms <= without.p50Ms);
  assert.ok(hedged.p999Ms <= without.p999Ms);
});

// Guards against work beyond the share, and probes that are not near a hedge.
test('hedges keep to their share and cost few probes', (t) => {
  [true, false].forEach((hasVariedPhases) => {
    const [without, hedged] = compare(t, { isProgressive: true, hasVariedPhases });
    assert.ok(without !== undefined && hedged !== undefined);
    assert.ok(without.addedWork <= 0);
    // What the requests before the measured ones have earned is spent, too.
    assert.ok(hedged.hedgeShare <= SHARE + 3 / REQUESTS);
    assert.ok(hedged.addedWork <= SHARE + 3 / REQUESTS);
    assert.ok(hedged.probesPerRequest <= without.probesPerRequest + 4 * SHARE);
  });
});

// Guards against hedges that make good responses later where few requests are late.
test('hedges harm nobody where targets slow only the requests that start in a slow phase', (t) => {
  const [without, hedged] = compare(t, { isProgressive: false, hasVariedPhases: true });
  assert.ok(without !== undefined && hedged !== undefined);
  assert.ok(hedged.p50Ms <= without.p50Ms);
  assert.ok(hedged.p99Ms <= without.p99Ms);
  assert.ok(hedged.lateShare <= without.lateShare);
  assert.ok(hedged.addedWork <= 0.01);
});

// Guards against hedges that take the slots that other requests wait for.
test('a service without free slots gets few hedges, and no more late requests', (t) => {
  const [without, hedged] = compare(t, { isProgressive: true, hasVariedPhases: true }, BUSY);
  assert.ok(without !== undefined && hedged !== undefined);
  assert.ok(without.lateShare > 0.05);
  assert.ok(hedged.lateShare <= without.lateShare);
  assert.ok(hedged.hedgeShare <= SHARE / 3);
});
