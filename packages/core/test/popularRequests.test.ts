import assert from 'node:assert/strict';
import { test } from 'node:test';

import CrashModel from './support/CrashModel';

const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);
const RUN_MS = 60_000;
/** Time after which crashes are known everywhere, in milliseconds. */
const CONTACT_MS = 3000;
const CRASHES = 3;
const ALLOWED = 3;

const SYSTEM = {
  entries: 18, targets: 4, requestsPerSecond: 4, endEveryMs: 1500,
};

// Guards against requests that are refused as crashing ones because targets ended under them.
[
  { name: 'that targets answer', startEveryMs: undefined, crashingEveryMs: undefined },
  { name: 'that targets answer, beside starts', startEveryMs: 700, crashingEveryMs: undefined },
  { name: 'beside one that crashes targets', startEveryMs: undefined, crashingEveryMs: 400 },
  { name: 'beside one that crashes targets, and starts', startEveryMs: 10_000, crashingEveryMs: 400 },
].forEach(({ name, ...options }) => {
  test(`no entry refuses a request ${name}`, () => {
    SEEDS.forEach((seed) => {
      const model = new CrashModel({ ...SYSTEM, ...options, seed });
      model.run(RUN_MS);
      assert.ok(model.answered > 1000, `seed ${seed}: ${model.answered} answered`);
      assert.equal(model.refused, 0, `seed ${seed}: ${model.refused} refused`);
      const thirdAtMs = model.crashesAtMs[CRASHES - 1] ?? Infinity;
      const late = model.crashesAtMs.filter((atMs) => atMs > thirdAtMs + CONTACT_MS).length;
      assert.ok(late <= ALLOWED, `seed ${seed}: ${late} late of ${model.crashesAtMs.length}`);
    });
  });
});
