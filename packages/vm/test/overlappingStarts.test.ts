import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'node:test';

import EntrySessions from '../src/entry/EntrySessions';
import VmHub from '../src/session/VmHub';
import createPeer from './support/createPeer';
import retryUntil from './support/retryUntil';

const KEY = 'the key of all VMs';
/** Time for which two processes of a VM overlap, in milliseconds. */
const OVERLAP_MS = 1000;

// Guards against two processes of a VM, of which one still drains, that end each other's sessions.
test('sessions of two processes of a VM that overlap do not end each other again and again', async (t) => {
  const control = new VmHub(KEY, createPeer('a', ['control']));
  const opened: string[] = [];
  control.addHandler({
    onOpen: (_session, { startId }) => opened.push(startId),
    onMessage() {},
    onClose() {},
  });
  control.netServer.listen(0, '127.0.0.1');
  t.after(() => control.close());
  await once(control.netServer, 'listening');
  const { port } = control.netServer.address() as AddressInfo;
  const [draining, starting] = ['draining.3', 'starting.3'].map((startId) => {
    const hub = new VmHub(KEY, createPeer('b', ['entry'], startId));
    t.after(() => hub.close());
    return hub;
  });
  draining?.connect(`127.0.0.1:${port}`);
  await retryUntil(() => assert.equal(opened.length, 1));
  starting?.connect(`127.0.0.1:${port}`);
  await sleep(OVERLAP_MS);
  // Each process may lose its session once.
  assert.ok(opened.length <= 4, `${opened.length} sessions opened: ${opened.join(' ')}`);
});

// Guards against a VM that cannot be sent to, or whose messages its former process gets.
test('a former process that connects again gets none of the messages for the present one', async (t) => {
  const self = createPeer('a', ['control', 'entry']);
  const hub = new VmHub(KEY, self);
  const entries = new EntrySessions(self);
  let sessions = 0;
  hub.addHandler(entries);
  hub.addHandler({
    onOpen() {
      sessions += 1;
    },
    onMessage() {},
    onClose() {
      sessions -= 1;
    },
  });
  hub.netServer.listen(0, '127.0.0.1');
  t.after(() => hub.close());
  await once(hub.netServer, 'listening');
  const address = `127.0.0.1:${(hub.netServer.address() as AddressInfo).port}`;
  const received: string[] = [];
  const [former, present] = ['former.3', 'present.3'].map((startId) => {
    const peer = new VmHub(KEY, createPeer('b', ['entry', 'control'], startId));
    peer.addHandler({
      onOpen() {},
      onMessage: (_session, { kind }) => received.push(`${kind} at ${startId}`),
      onClose() {},
    });
    t.after(() => peer.close());
    return peer;
  });
  const awaitSessions = async (count: number): Promise<void> => retryUntil(() => {
    assert.equal(sessions, count);
  });
  former?.connect(address);
  await awaitSessions(1);
  present?.connect(address);
  await awaitSessions(2);
  former?.disconnect(address);
  await awaitSessions(1);
  former?.connect(address);
  await awaitSessions(2);
  assert.equal(hub.send('b', { kind: 'leaseRelease' }), true);
  assert.equal(entries.send('b', { kind: 'leaseRelease' }), true);
  former?.disconnect(address);
  await awaitSessions(1);
  assert.equal(hub.send('b', { kind: 'leaseRelease' }), true);
  assert.equal(entries.send('b', { kind: 'leaseRelease' }), true);
  await retryUntil(() => {
    assert.deepEqual(received, Array.from({ length: 4 }, () => 'leaseRelease at present.3'));
  });
});
