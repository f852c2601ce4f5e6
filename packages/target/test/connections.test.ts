import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { test, type TestContext } from 'node:test';

import UndiciTargetSender from '../src/UndiciTargetSender';

interface Rig {
  readonly sender: UndiciTargetSender;
  readonly server: Server;
  readonly address: string;
  /** What came of each new connection, in order. */
  readonly opened: boolean[];
  /** Sends a request and returns the kind of its failure, `complete` without one. */
  readonly send: (path: string) => Promise<string>;
}

/** Starts a target that answers `/slow` after all other requests, and never answers `/never`. */
async function createRig(t: TestContext): Promise<Rig> {
  const server = createServer((req, res) => {
    if (req.url === '/never') return;
    setTimeout(() => res.end(), req.url === '/slow' ? 50 : 0);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const opened: boolean[] = [];
  const sender = new UndiciTargetSender({
    keepAliveTimeoutMs: 60_000, onOpened: (_address, isWorking) => opened.push(isWorking),
  });
  t.after(async () => {
    server.close();
    server.closeAllConnections();
    await sender.close();
  });
  const send = async (path: string): Promise<string> => new Promise((resolve) => {
    sender.send({ address, connectionLimit: 16 }, {
      method: 'GET', path, headers: [], body: null,
    }, {
      onConnected: () => undefined,
      onHeaders: () => undefined,
      onData: () => true,
      onEnd: () => resolve('complete'),
      onFailure: ({ kind }) => resolve(kind),
    });
  });
  return {
    sender, server, address, opened, send,
  };
}

test('a request takes an open connection before it opens one', async (t) => {
  const { send, opened } = await createRig(t);
  await Promise.all([send('/slow'), send('/slow'), send('/slow')]);
  for (let count = 0; count < 5; count += 1) {
    // eslint-disable-next-line no-await-in-loop -- one after the other
    assert.equal(await send('/'), 'complete');
  }
  assert.deepEqual(opened, [true, true, true]);
});

test('a connection that was closed is not taken while another one is open', async (t) => {
  const { send, server, opened } = await createRig(t);
  const sockets: Socket[] = [];
  server.on('connection', (socket: Socket) => sockets.push(socket));
  await Promise.all([send('/slow'), send('/slow')]);
  const last = sockets.pop();
  last?.end();
  await once(last as Socket, 'close');
  assert.equal(await send('/'), 'complete');
  assert.equal(await send('/'), 'complete');
  assert.deepEqual(opened, [true, true]);
});

test('connections count as ready once they have carried a response and are free', async (t) => {
  const { sender, address, send } = await createRig(t);
  assert.equal(sender.countReady(address), 0);
  const first = send('/slow');
  assert.equal(sender.countReady(address), 0);
  await first;
  assert.equal(sender.countReady(address), 1);
  const second = send('/slow');
  assert.equal(sender.countReady(address), 0);
  await second;
});

test('a new connection that is reset once it has been accepted is reported as failed', async (t) => {
  const { send, server, opened } = await createRig(t);
  server.on('connection', (socket: Socket) => socket.resetAndDestroy());
  assert.notEqual(await send('/'), 'complete');
  assert.deepEqual(opened, [false]);
});

test('connections to an address that was closed report nothing any more', async (t) => {
  const {
    sender, address, server, opened, send,
  } = await createRig(t);
  server.on('connection', (socket: Socket) => socket.resetAndDestroy());
  const outcome = send('/');
  sender.closeConnections(address);
  assert.notEqual(await outcome, 'complete');
  assert.deepEqual(opened, []);
});

test('a new connection that nobody accepts is reported as failed', async (t) => {
  const { send, server, opened } = await createRig(t);
  server.close();
  await once(server, 'close');
  assert.equal(await send('/'), 'targetUnreachable');
  assert.deepEqual(opened, [false]);
});

test('a connection that nothing was sent on says nothing about the target', async (t) => {
  const {
    sender, address, server, opened, send,
  } = await createRig(t);
  const dispatch = sender.send({ address, connectionLimit: 16 }, {
    method: 'GET', path: '/', headers: [], body: null,
  }, {
    onConnected: () => undefined,
    onHeaders: () => undefined,
    onData: () => true,
    onEnd: () => undefined,
    onFailure: () => undefined,
  });
  dispatch.abort({ kind: 'callerGone', detail: '' });
  const [socket] = await once(server, 'connection') as [Socket];
  socket.end();
  await once(socket, 'close');
  assert.equal(await send('/'), 'complete');
  assert.deepEqual(opened, [true]);
});

test('a connection that this VM aborts says nothing about the target', async (t) => {
  const {
    sender, address, server, opened, send,
  } = await createRig(t);
  const dispatch = sender.send({ address, connectionLimit: 16 }, {
    method: 'GET', path: '/never', headers: [], body: null,
  }, {
    onConnected: () => undefined,
    onHeaders: () => undefined,
    onData: () => true,
    onEnd: () => undefined,
    onFailure: () => undefined,
  });
  await once(server, 'request');
  dispatch.abort({ kind: 'callerGone', detail: '' });
  assert.equal(await send('/'), 'complete');
  assert.deepEqual(opened, [true]);
});
