import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';

import CallerListener from '../src/CallerListener';
import ReplayableBody from '../src/ReplayableBody';
import sendStoredResponse from '../src/sendStoredResponse';

const BODY = 'the lots are full';
const LENGTH = { 'content-length': String(BODY.length) };
const CHUNK = Buffer.alloc(64 * 1024, 'x');
const TRIES = 20;
/** Sizes of uploads, in bytes: below and beyond what is read without closing the connection. */
const SIZES = [CHUNK.length * 8, CHUNK.length * 128];

/** Starts a listener that refuses each request before it has read the body. */
async function startListener(t: TestContext): Promise<{
  listener: CallerListener;
  port: number;
  handled: (string | undefined)[];
}> {
  const handled: (string | undefined)[] = [];
  const listener = new CallerListener({
    handle: (req, res: ServerResponse) => {
      handled.push(req.url);
      sendStoredResponse(res, { status: 503, headers: LENGTH, body: Buffer.from(BODY) });
      new ReplayableBody(req, false).discard();
    },
  });
  listener.server.listen(0, '127.0.0.1');
  await once(listener.server, 'listening');
  t.after(() => {
    listener.server.close();
    listener.server.closeAllConnections();
  });
  return { listener, port: (listener.server.address() as AddressInfo).port, handled };
}

/** Sends an upload to its end, then some more. @returns all that was received until the close */
async function upload(
  port: number,
  bytes: number,
  header: string,
  more = '',
): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  let received = '';
  socket.on('data', (data: Buffer) => {
    received += data.toString();
  });
  socket.on('error', () => undefined);
  socket.on('end', () => socket.end());
  const head = `POST /lots HTTP/1.1\r\nhost: lots.example\r\ncontent-length: ${bytes}\r\n`;
  socket.write(`${head}${header}\r\n`);
  for (let sent = 0; sent < bytes; sent += CHUNK.length) socket.write(CHUNK);
  socket.write(more);
  await once(socket, 'close');
  return received;
}

// Guards against a reset by the close after a last response, which may take the response along.
[
  { name: 'a caller that asks to close', header: 'connection: close\r\n', isDraining: false },
  { name: 'a listener that drains', header: '', isDraining: true },
].forEach(({ name, header, isDraining }) => {
  test(`${name}: a response before the end of an upload arrives as a whole`, async (t) => {
    const { listener, port } = await startListener(t);
    if (isDraining) listener.startDraining();
    for (let attempt = 0; attempt < TRIES; attempt += 1) {
      // eslint-disable-next-line no-await-in-loop -- one upload at a time
      const received = await upload(port, SIZES[attempt % 2] ?? 0, header);
      assert.match(received, /^HTTP\/1\.1 503 [^]*\r\n\r\nthe lots are full$/, `try ${attempt}`);
    }
  });
});

test('a stop waits for uploads whose refusal their callers have yet to read', async (t) => {
  const { listener, port } = await startListener(t);
  const received = upload(port, SIZES[1] ?? 0, '');
  await once(listener.server, 'request');
  listener.startDraining();
  await Promise.all([listener.stop(), received]);
  assert.match(await received, /\r\n\r\nthe lots are full$/);
});

// Guards against a request that runs although its connection is closed for writing.
test('a request behind a large upload whose connection closes is not handled', async (t) => {
  const { listener, port, handled } = await startListener(t);
  const accepted = once(listener.server, 'connection') as Promise<[Socket]>;
  const received = upload(port, SIZES[1] ?? 0, '', 'GET /next HTTP/1.1\r\nhost: lots.example\r\n\r\n');
  const [socket] = await accepted;
  await Promise.all([received, once(socket, 'close')]);
  assert.deepEqual(handled, ['/lots']);
});

// Guards against responses whose end their callers wait for while they still send.
[
  {
    version: '1.1', kind: 'without a length', headers: {}, end: /the lots are full\r\n0\r\n\r\n$/,
  },
  {
    version: '1.0', kind: 'without a length', headers: {}, end: /the lots are full$/,
  },
  {
    version: '1.1', kind: 'with a length', headers: LENGTH, end: /the lots are full$/,
  },
  {
    version: '1.0', kind: 'with a length', headers: LENGTH, end: /the lots are full$/,
  },
].forEach(({
  version, kind, headers, end,
}) => {
  test(`a response ${kind} to HTTP/${version} ends before the upload does`, async (t) => {
    const listener = new CallerListener({
      handle: (req, res: ServerResponse) => {
        sendStoredResponse(res, { status: 503, headers, body: Buffer.from(BODY) });
        new ReplayableBody(req, false).discard();
      },
    });
    listener.server.listen(0, '127.0.0.1');
    await once(listener.server, 'listening');
    t.after(() => {
      listener.server.close();
      listener.server.closeAllConnections();
    });
    const { port } = listener.server.address() as AddressInfo;
    const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
    const [connection] = await once(listener.server, 'connection') as [Socket];
    let received = '';
    socket.on('data', (data: Buffer) => {
      received += data.toString();
    });
    socket.on('error', () => undefined);
    socket.write(`POST /lots HTTP/${version}\r\nhost: lots.example\r\nconnection: close\r\n`);
    socket.write(`content-length: ${CHUNK.length}\r\n\r\nfirst`);
    await once(socket, 'end');
    assert.match(received, end);
    socket.end(CHUNK);
    if (!connection.closed) await once(connection, 'close');
    assert.ok(connection.bytesRead > CHUNK.length);
  });
});
