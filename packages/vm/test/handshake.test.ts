import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';

import encodeFrame from '../src/session/encodeFrame';
import type SessionHandler from '../src/session/SessionHandler';
import VmHub from '../src/session/VmHub';
import type VmIdentity from '../src/session/VmIdentity';

const KEY = 'the key of the system';
const IDENTITY: VmIdentity = {
  name: 'vm-1',
  region: 'munster',
  dataCentre: 'munster-1',
  startId: 'start',
  roles: ['entry'],
  address: '127.0.0.1:1',
};
const HELLO = { kind: 'hello', nonce: '0'.repeat(32), identity: IDENTITY };
const IGNORE: SessionHandler = { onOpen() {}, onMessage() {}, onClose() {} };

interface Listening {
  readonly hub: VmHub;
  readonly port: number;
  readonly errors: string[];
}

async function listen(t: TestContext, handler: SessionHandler = IGNORE): Promise<Listening> {
  const errors: string[] = [];
  const hub = new VmHub(KEY, IDENTITY, { onError: (err) => errors.push(err.message) });
  hub.addHandler(handler);
  hub.netServer.listen(0, '127.0.0.1');
  await once(hub.netServer, 'listening');
  t.after(() => hub.close());
  return { hub, errors, port: (hub.netServer.address() as AddressInfo).port };
}

async function sendRaw(t: TestContext, port: number, bytes: Buffer): Promise<Socket> {
  const socket = connect(port, '127.0.0.1');
  t.after(() => socket.destroy());
  socket.on('error', () => undefined);
  socket.resume();
  await once(socket, 'connect');
  socket.write(bytes);
  return socket;
}

async function connectMember(t: TestContext, port: number): Promise<VmHub> {
  const member = new VmHub(KEY, IDENTITY);
  t.after(() => member.close());
  const opened = new Promise<void>((resolve) => {
    member.addHandler({ ...IGNORE, onOpen: () => resolve() });
  });
  member.connect(`127.0.0.1:${port}`);
  await opened;
  return member;
}

test('a malformed handshake closes its session and no other', async (t) => {
  const proofs = ['ä'.repeat(64), '€'.repeat(64), 'g'.repeat(64), 'A'.repeat(64), '0'.repeat(63)];
  const { port } = await listen(t);
  await Promise.all(proofs.map(async (proof) => {
    const socket = await sendRaw(t, port, Buffer.concat([HELLO, { kind: 'proof', proof }].map(encodeFrame)));
    await once(socket, 'close');
  }));
  await connectMember(t, port);
});

test('a nonce that is not hexadecimal closes the session', async (t) => {
  const { port } = await listen(t);
  const socket = await sendRaw(t, port, encodeFrame({ ...HELLO, nonce: 'ä'.repeat(32) }));
  await once(socket, 'close');
});

test('an exception in a message handler closes the session and is reported', async (t) => {
  const { port, errors } = await listen(t, {
    ...IGNORE,
    onMessage: () => {
      throw new Error('unexpected');
    },
  });
  const member = await connectMember(t, port);
  const closed = new Promise<void>((resolve) => {
    member.addHandler({ ...IGNORE, onClose: () => resolve() });
  });
  member.send(IDENTITY.name, { kind: 'leaseRelease' });
  await closed;
  assert.deepEqual(errors, ['unexpected']);
});

test('an exception while a session closes is reported and leaves the other handlers', async (t) => {
  let closedCount = 0;
  const { hub, port, errors } = await listen(t, {
    ...IGNORE,
    onClose: () => {
      throw new Error('unexpected');
    },
  });
  hub.addHandler({
    ...IGNORE,
    onClose: () => {
      closedCount += 1;
    },
  });
  const socket = await sendRaw(t, port, Buffer.from([0, 0, 0, 1, 0xff]));
  await once(socket, 'close');
  assert.deepEqual([errors, closedCount], [['unexpected'], 1]);
});
