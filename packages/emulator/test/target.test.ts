import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';

import { request, type Dispatcher } from 'undici';

import EmulatedTarget from '../src/EmulatedTarget';
import type TargetBehaviour from '../src/TargetBehaviour';

async function start(
  t: TestContext,
  behaviour: Partial<TargetBehaviour>,
): Promise<{ target: EmulatedTarget; url: string }> {
  const target = new EmulatedTarget('target-1', behaviour);
  t.after(() => {
    target.server.close();
    target.server.closeAllConnections();
  });
  return { target, url: `http://${await target.listen()}` };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  if (condition()) return;
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  await waitUntil(condition);
}

async function status(response: Promise<Dispatcher.ResponseData>): Promise<number> {
  const { statusCode, body } = await response;
  await body.dump();
  return statusCode;
}

test('a target with a full queue sheds requests as not run', async (t) => {
  const { target, url } = await start(t, { slots: 1, queueLimit: 0, serviceTimeMs: 3_600_000 });
  const running = request(url).catch(() => undefined);
  await waitUntil(() => target.runs === 1);
  const refused = await request(url);
  assert.equal(refused.statusCode, 503);
  assert.equal(refused.headers['guavayard-outcome'], 'not-run');
  assert.equal(refused.headers['guavayard-load'], 'in-flight=1, slots=1');
  assert.deepEqual([target.runs, target.statistics.shed], [1, 1]);
  target.crash();
  await running;
});

test('a cold target fails requests over its limit and warms up with each response', async (t) => {
  const { target, url } = await start(t, { slots: 2, coldRequests: 1 });
  const headers = { 'emulated-service-time-ms': '3600000' };
  const running = request(url, { headers }).catch(() => undefined);
  await waitUntil(() => target.inFlight === 1);
  assert.equal(await status(request(url)), 500);
  assert.equal(target.statistics.overloads, 1);
  target.change({ coldSlots: 2 });
  assert.equal(await status(request(url)), 200);
  assert.equal(target.behaviour.coldRequests, 0);
  target.crash();
  await running;
});

test('a disconnecting caller frees the slot', async (t) => {
  const { target, url } = await start(t, { slots: 1, serviceTimeMs: 3_600_000 });
  const controller = new AbortController();
  const aborted = request(url, { signal: controller.signal }).catch(() => undefined);
  await waitUntil(() => target.inFlight === 1);
  controller.abort();
  await aborted;
  await waitUntil(() => target.inFlight === 0);
  assert.equal(target.statistics.cancelled, 1);
});

test('a poison request crashes the target that runs it', async (t) => {
  const { target, url } = await start(t, {});
  await assert.rejects(request(url, { headers: { 'emulated-poison': '1' } }));
  assert.equal(target.runs, 1);
  assert.equal(target.server.listening, false);
});

test('runs are counted by idempotency key', async (t) => {
  const { target, url } = await start(t, {});
  const headers = { 'idempotency-key': 'k' };
  await status(request(url, { headers }));
  await status(request(url, { headers }));
  assert.equal(target.statistics.runsByKey.get('k'), 2);
});
