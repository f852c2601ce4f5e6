import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { test, type TestContext } from 'node:test';

import CallerListener from '../src/CallerListener';
import defaultLimits from '../src/defaultLimits';

const REQUEST = 'GET /lots HTTP/1.1\r\nhost: lots.example\r\n\r\n';
const UNREAD_MS = 300;
/** More than the kernel buffers for one connection. */
const LONG_BYTES = 32 * 1024 * 1024;

/** Starts a listener whose responses take a while and have a number of bytes. */
async function startListener(t: TestContext, bytes: number, workMs: number): Promise<{
  port: number;
  closed: Promise<void>;
}> {
  let onClosed: () => void = () => undefined;
  const closed = new Promise<void>((resolve) => {
    onClosed = resolve;
  });
  const listener = new CallerListener({
    handle: (_req, res: ServerResponse) => {
      res.once('close', onClosed);
      setTimeout(() => res.end(Buffer.alloc(bytes)), workMs);
    },
  }, { limits: { ...defaultLimits, unreadMs: UNREAD_MS } });
  listener.server.listen(0, '127.0.0.1');
  await once(listener.server, 'listening');
  t.after(() => {
    listener.server.close();
    listener.server.closeAllConnections();
  });
  return { port: (listener.server.address() as AddressInfo).port, closed };
}

async function send(port: number): Promise<Socket> {
  const socket = connect(port, '127.0.0.1');
  await once(socket, 'connect');
  socket.on('error', () => undefined);
  socket.write(REQUEST);
  return socket;
}

test('a caller that reads nothing of its response is given up', { timeout: 20_000 }, async (t) => {
  const { port, closed } = await startListener(t, LONG_BYTES, 0);
  const socket = await send(port);
  socket.pause();
  await closed;
  socket.destroy();
});

test('a response that takes longer than that is sent to a caller that reads', async (t) => {
  const { port } = await startListener(t, 10, 2 * UNREAD_MS);
  const socket = await send(port);
  const [chunk] = await once(socket, 'data') as [Buffer];
  assert.match(chunk.toString(), /^HTTP\/1\.1 200 OK/);
  // The connection stays open for its next request.
  await sleep(2 * UNREAD_MS);
  socket.write(REQUEST);
  const [next] = await once(socket, 'data') as [Buffer];
  assert.match(next.toString(), /^HTTP\/1\.1 200 OK/);
  socket.destroy();
});
