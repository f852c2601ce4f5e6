import assert from 'node:assert/strict';
import { EventEmitter, once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';

import CallerListener from '../src/CallerListener';

/** More than the kernel passes on while the caller reads nothing, less than it buffers. */
const LONG_BYTES = 400 * 1024;

/** Most that is read of a connection after its last response, in bytes. */
const MAX_DISCARDED_BYTES = 32 * 1024 * 1024;

type Handle = (req: IncomingMessage, res: ServerResponse) => void;

async function startListener(t: TestContext, handle: Handle): Promise<CallerListener> {
  const listener = new CallerListener({ handle });
  listener.server.listen(0, '127.0.0.1');
  await once(listener.server, 'listening');
  t.after(() => {
    listener.server.close();
    listener.server.closeAllConnections();
  });
  return listener;
}

async function open(t: TestContext, { server }: CallerListener): Promise<Socket> {
  const socket = connect({
    port: (server.address() as AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true,
  });
  t.after(() => socket.destroy());
  await once(socket, 'connect');
  return socket;
}

function createRequest(path: string): string {
  return `GET ${path} HTTP/1.1\r\nhost: lots.example\r\n\r\n`;
}

/** Sends bytes; rejects if the connection was reset. */
async function send(socket: Socket, bytes: string | Buffer): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    socket.write(bytes, (err) => {
      if (err) reject(err);
      else resolve();
    });
  });
}

/** @returns all that arrives until the other side ends the connection, and the error if any */
async function readAll(socket: Socket): Promise<{ text: string; err: Error | undefined }> {
  let text = '';
  socket.on('data', (chunk: Buffer) => {
    text += chunk.toString('latin1');
  });
  return new Promise((resolve) => {
    socket.on('end', () => resolve({ text, err: undefined }));
    socket.on('error', (err) => resolve({ text, err }));
    socket.resume();
  });
}

// Guards against a reset by bytes that arrive after the connection was closed.
test('a caller that goes on sending gets the whole response that ends its connection', { timeout: 10_000 }, async (t) => {
  const events = new EventEmitter();
  const listener = await startListener(t, (_req, res) => {
    res.shouldKeepAlive = false;
    res.once('close', () => setImmediate(() => events.emit('closed')));
    res.end(Buffer.alloc(LONG_BYTES, 'x'));
  });
  const socket = await open(t, listener);
  socket.pause();
  const closed = once(events, 'closed');
  socket.write(createRequest('/first'));
  await closed;
  socket.write(createRequest('/second'));
  const { text, err } = await readAll(socket);
  assert.equal(err, undefined);
  assert.equal(text.length - text.indexOf('\r\n\r\n') - 4, LONG_BYTES);
});

test('a caller that still sends its body gets the response that ends its connection', { timeout: 10_000 }, async (t) => {
  const listener = await startListener(t, (_req, res) => {
    res.shouldKeepAlive = false;
    res.writeHead(503).end('refused');
  });
  const socket = await open(t, listener);
  const reading = readAll(socket);
  socket.write('POST /lots HTTP/1.1\r\nhost: lots.example\r\ncontent-length: 900000\r\n\r\nfirst');
  await once(socket, 'data');
  socket.write(Buffer.alloc(400_000));
  const { text, err } = await reading;
  assert.equal(err, undefined);
  assert.match(text, /^HTTP\/1\.1 503 [^]*refused/);
  // The system of a caller hears of a reset at the first bytes, the caller itself at the next.
  await send(socket, Buffer.alloc(100_000));
  await send(socket, Buffer.alloc(100_000));
});

// Guards against a paused connection that is not read on, and reset once the time to close is over.
test('a caller that sends more than the kernel buffers meets no reset after the last response', { timeout: 10_000 }, async (t) => {
  const listener = await startListener(t, (_req, res) => {
    res.shouldKeepAlive = false;
    res.writeHead(503).end('refused');
  });
  const socket = await open(t, listener);
  const reading = readAll(socket);
  const bytes = 32 * LONG_BYTES;
  socket.write(`POST /lots HTTP/1.1\r\nhost: lots.example\r\ncontent-length: ${bytes}\r\n\r\n`);
  await send(socket, Buffer.alloc(bytes));
  const { text, err } = await reading;
  assert.equal(err, undefined);
  assert.match(text, /^HTTP\/1\.1 503 [^]*refused/);
});

test('a caller that goes on sending after malformed bytes gets the response', { timeout: 10_000 }, async (t) => {
  const listener = await startListener(t, (_req, res) => {
    res.end('the lots');
  });
  const socket = await open(t, listener);
  const reading = readAll(socket);
  socket.write('no request\r\n\r\n');
  await once(socket, 'data');
  // More than the kernel buffers, so that the listener must have read the first part.
  await send(socket, Buffer.alloc(16 * LONG_BYTES));
  await send(socket, Buffer.alloc(16 * LONG_BYTES));
  const { text, err } = await reading;
  assert.equal(err, undefined);
  assert.match(text, /^HTTP\/1\.1 400 /);
});

// Callers may repeat any request that was not read, but not all that were.
test('a request that crosses the end of an idle connection meets no reset and is not read', { timeout: 10_000 }, async (t) => {
  const events = new EventEmitter();
  const listener = await startListener(t, (_req, res) => {
    res.once('close', () => events.emit('answered'));
    res.end('the lots');
  });
  const connected = once(listener.server, 'connection');
  const socket = await open(t, listener);
  const [accepted] = await connected as [Socket];
  const request = createRequest('/first');
  const answered = Promise.all([once(events, 'answered'), once(socket, 'data')]);
  socket.write(request);
  await answered;
  const stopped = listener.stop();
  await once(socket, 'end');
  // The system of a caller hears of a reset at the first bytes, the caller itself at the next.
  await send(socket, createRequest('/second'));
  await send(socket, createRequest('/third'));
  socket.on('error', () => undefined);
  await stopped;
  assert.equal(accepted.bytesRead, request.length);
});

// Guards against an end of the connection that is announced behind an unfinished response.
test('a request behind pipelined ones is answered while the listener drains', { timeout: 10_000 }, async (t) => {
  const events = new EventEmitter();
  const responses = new Map<string, ServerResponse>();
  const listener = await startListener(t, (req, res) => {
    responses.set(req.url ?? '', res);
    if (req.url !== '/first') res.end(`answer to ${req.url}`);
  });
  listener.server.on('request', ({ url }: IncomingMessage) => events.emit(url ?? ''));
  listener.startDraining();
  const socket = await open(t, listener);
  const reading = readAll(socket);
  const second = once(events, '/second');
  socket.write(createRequest('/first') + createRequest('/second'));
  await second;
  const third = once(events, '/third');
  socket.write(createRequest('/third'));
  await third;
  responses.get('/first')?.end('answer to /first');
  const stopped = listener.stop();
  const { text } = await reading;
  assert.deepEqual(text.match(/answer to \/(?:first|second|third)/g), ['/first', '/second', '/third'].map((path) => `answer to ${path}`));
  socket.end();
  await stopped;
});

// Guards against a refusal that ends the connection before the requests behind it are parsed.
test('pipelined requests that arrive together are all answered while the listener drains', { timeout: 10_000 }, async (t) => {
  const listener = await startListener(t, ({ url }, res) => {
    res.end(`answer to ${url}`);
  });
  listener.startDraining();
  const socket = await open(t, listener);
  const reading = readAll(socket);
  const paths = ['/first', '/second', '/third'];
  const arrived = once(listener.server, 'request');
  socket.write(paths.map(createRequest).join(''));
  await arrived;
  const stopped = listener.stop();
  const { text } = await reading;
  assert.deepEqual(text.match(/answer to \/(?:first|second|third)/g), paths.map((path) => `answer to ${path}`));
  socket.end();
  await stopped;
});

test('a request whose rest arrives with the last response of a stop is answered', { timeout: 10_000 }, async (t) => {
  const events = new EventEmitter();
  const listener = await startListener(t, ({ url }, res) => {
    if (url === '/slow') events.once('go', () => res.end('slow'));
    else res.end('late');
  });
  const [slow, late] = await Promise.all([open(t, listener), open(t, listener)]);
  const readings = [slow, late].map(readAll);
  const arrived = once(listener.server, 'request');
  slow.write(createRequest('/slow'));
  await arrived;
  const request = createRequest('/late');
  await send(late, request.slice(0, 20));
  const stopped = listener.stop();
  // The listener closes a few turns of the event loop after the stop has begun.
  // eslint-disable-next-line no-await-in-loop
  while (listener.server.listening) await nextTurn();
  late.write(request.slice(20));
  events.emit('go');
  const [slowText, lateText] = (await Promise.all(readings)).map(({ text }) => text);
  assert.match(slowText ?? '', /slow$/);
  assert.match(lateText ?? '', /late$/);
  [slow, late].forEach((socket) => socket.end());
  await stopped;
});

// Guards against an entry that spends its time on a caller that sends without end.
test('a caller that sends without end after the last response is cut off', { timeout: 10_000 }, async (t) => {
  const listener = await startListener(t, (_req, res) => {
    res.shouldKeepAlive = false;
    res.writeHead(503).end('refused');
  });
  const accepted = once(listener.server, 'connection') as Promise<[Socket]>;
  const socket = await open(t, listener);
  const [connection] = await accepted;
  const closed = once(connection, 'close');
  socket.on('error', () => undefined);
  socket.write('POST /lots HTTP/1.1\r\nhost: lots.example\r\ntransfer-encoding: chunked\r\n\r\n');
  const write = (): void => {
    while (!socket.destroyed && socket.write(`10000\r\n${'x'.repeat(65536)}\r\n`));
  };
  socket.on('drain', write);
  write();
  await closed;
  assert.ok(connection.bytesRead < 2 * MAX_DISCARDED_BYTES, `${connection.bytesRead} bytes read`);
});
