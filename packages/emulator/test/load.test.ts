import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';

import EmulatedTarget from '../src/EmulatedTarget';
import runLoad from '../src/load/runLoad';

const OPTIONS = {
  method: 'GET', ratePerSecond: 2000, count: 50, durationMs: 10_000, timeoutMs: 5000,
};

async function start(t: TestContext, serviceTimeMs: number): Promise<EmulatedTarget> {
  const target = new EmulatedTarget('target-1', { serviceTimeMs, slots: 1 });
  t.after(() => target.crash());
  return target;
}

test('a load run is limited by its count and counts every response', async (t) => {
  const target = await start(t, 0);
  const result = await runLoad({ ...OPTIONS, url: `http://${await target.listen()}/` });
  assert.deepEqual(result.outcomes, { 200: 50 });
  assert.deepEqual([result.sent, result.answered, target.runs], [50, 50, 50]);
});

test('a load run is open-loop and includes queueing delays in the latency', async (t) => {
  const target = await start(t, 20);
  const url = `http://${await target.listen()}/`;
  const result = await runLoad({ ...OPTIONS, url, count: 10 });
  // Ten requests share one slot for 20 ms each: the last one waits for the nine before it.
  assert.ok(result.maxMs >= 180, `${result.maxMs}`);
});

test('a load run counts failures and is limited by its duration', async (t) => {
  const target = await start(t, 0);
  const address = await target.listen();
  target.crash();
  const result = await runLoad({
    ...OPTIONS, url: `http://${address}/`, count: 1_000_000, durationMs: 100,
  });
  assert.equal(result.answered, 0);
  assert.equal(result.outcomes.ECONNREFUSED, result.sent);
  assert.ok(result.sent <= 201);
});
