import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Client } from 'undici';

import KeyCluster from './support/KeyCluster';
import RawTarget from './support/RawTarget';
import TestEntry from './support/TestEntry';

test('one run serves a caller that disconnects and resends, and a resend to another entry', async (t) => {
  const cluster = new KeyCluster(6);
  t.after(() => cluster.close());
  await cluster.waitUntilSettled();
  const target = new RawTarget((socket, req) => {
    if (req.path !== '/hold') socket.end();
  });
  const address = await target.listen();
  const entries = cluster.nodes.slice(0, 2).map(({ task }) => new TestEntry(task));
  const clients = await Promise.all(entries.map(async (entry) => {
    entry.addTarget(address);
    return new Client(`http://127.0.0.1:${await entry.listen()}`);
  }));
  t.after(async () => {
    await Promise.all(clients.map(async (client) => client.destroy()));
    await Promise.all(entries.map(async (entry) => entry.close()));
    await target.close();
  });
  const options = {
    method: 'POST' as const, path: '/hold', body: 'lot 7', headers: { 'idempotency-key': 'hold-7' },
  };
  const disconnect = new AbortController();
  const [first, second] = clients;
  assert.ok(first !== undefined && second !== undefined);
  const aborted = first.request({ ...options, signal: disconnect.signal }).catch(() => 'aborted');
  await target.waitFor(() => target.received.length === 1);
  disconnect.abort();
  assert.equal(await aborted, 'aborted');
  const resends = [first.request(options), second.request(options)];
  target.respondToAll('held');
  const responses = await Promise.all(resends.map(async (resend) => {
    const res = await resend;
    return `${res.statusCode} ${await res.body.text()}`;
  }));
  assert.deepEqual(responses, ['200 held', '200 held']);
  assert.equal(target.received.length, 1);
});
