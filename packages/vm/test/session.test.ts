import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type AddressInfo } from 'node:net';
import { test } from 'node:test';

import VmConnector from '../src/session/VmConnector';
import type SessionHandler from '../src/session/SessionHandler';
import type VmIdentity from '../src/session/VmIdentity';
import VmListener from '../src/session/VmListener';
import VmSession from '../src/session/VmSession';

const IDENTITY: VmIdentity = {
  name: 'vm-1',
  region: 'munster',
  dataCentre: 'munster-1',
  startId: 'start',
  roles: ['entry'],
  address: '127.0.0.1:1',
};

const IGNORE: SessionHandler = { onOpen() {}, onMessage() {}, onClose() {} };

async function listen(key: string, handler: SessionHandler): Promise<VmListener> {
  const listener = new VmListener(key, IDENTITY, handler);
  listener.netServer.listen(0, '127.0.0.1');
  await once(listener.netServer, 'listening');
  return listener;
}

function portOf(listener: VmListener): number {
  return (listener.netServer.address() as AddressInfo).port;
}

test('delivers a message over an authenticated session', async (t) => {
  let deliver: (kind: string) => void = () => undefined;
  const delivered = new Promise<string>((resolve) => {
    deliver = resolve;
  });
  const listener = await listen('the same key', {
    ...IGNORE, onMessage: (_session, message) => deliver(message.kind),
  });
  const connector = new VmConnector(`127.0.0.1:${portOf(listener)}`, 'the same key', IDENTITY, {
    ...IGNORE, onOpen: (session) => session.send({ kind: 'leaseRelease' }),
  });
  t.after(() => {
    connector.close();
    listener.close();
  });
  connector.start();
  assert.equal(await delivered, 'leaseRelease');
});

test('closes a session whose peer sends nothing within the timeout', async (t) => {
  const listener = await listen('the same key', IGNORE);
  t.after(() => listener.close());
  const reason = await new Promise((resolve) => {
    const socket = connect(portOf(listener), '127.0.0.1');
    const client = new VmSession(socket, 'client', 'the same key', IDENTITY, {
      ...IGNORE,
      // A paused socket delivers nothing, like a network partition that closes no connection.
      onOpen: () => socket.pause(),
      onClose: (_session, why) => resolve(why),
    }, { timing: { heartbeatMs: 20, timeoutMs: 200 } });
    t.after(() => client.close('test over'));
  });
  assert.equal(reason, 'nothing received for 200 ms');
});

test('a session with a different key never opens', async (t) => {
  let opened = 0;
  const handler = {
    ...IGNORE,
    onOpen: () => {
      opened += 1;
    },
  };
  const listener = await listen('one key', handler);
  t.after(() => listener.close());
  const reason = await new Promise((resolve) => {
    const socket = connect(portOf(listener), '127.0.0.1');
    const client = new VmSession(socket, 'client', 'another key', IDENTITY, {
      ...handler, onClose: (_session, why) => resolve(why),
    });
    t.after(() => client.close('test over'));
  });
  assert.equal(opened, 0);
  assert.ok(reason === 'peer does not know the shared key' || reason === 'connection closed');
});
