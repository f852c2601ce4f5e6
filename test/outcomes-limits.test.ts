import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';

import EmulatedTarget from '@guavayard/emulator/EmulatedTarget';

import TestEntry from './support/TestEntry';

const CRLF = '\r\n';
const HOST = 'host: lots';

interface AbuseCase {
  readonly name: string;
  /** What the caller sends. It never closes its side of the connection. */
  readonly text: string;
  /** Error kind in the response; empty if the connection is closed without a response. */
  readonly error: string;
  /** Maximum number of requests that reach the target. */
  readonly runs: number;
}

const ABUSE_CASES: readonly AbuseCase[] = [
  {
    name: 'headers that are too large',
    text: `GET / HTTP/1.1${CRLF}${HOST}${CRLF}x: ${'y'.repeat(20_000)}${CRLF}${CRLF}`,
    error: 'headersTooLarge',
    runs: 0,
  },
  {
    name: 'headers that never end',
    text: `GET / HTTP/1.1${CRLF}${HOST}${CRLF}x: `,
    error: 'headersTooSlow',
    runs: 0,
  },
  {
    name: 'a body longer than the limit',
    text: `POST / HTTP/1.1${CRLF}${HOST}${CRLF}content-length: 99999999999${CRLF}${CRLF}`,
    error: 'bodyTooLarge',
    runs: 0,
  },
  {
    name: 'a body that never ends',
    text: `POST / HTTP/1.1${CRLF}${HOST}${CRLF}guavayard-deadline-ms: 300${CRLF}content-length: 9${CRLF}${CRLF}part`,
    error: '',
    runs: 1,
  },
  {
    name: 'two content lengths',
    text: `POST / HTTP/1.1${CRLF}${HOST}${CRLF}content-length: 1${CRLF}content-length: 2${CRLF}${CRLF}ab`,
    error: 'malformedRequest',
    runs: 0,
  },
  {
    name: 'a content length and a transfer encoding',
    text: `POST / HTTP/1.1${CRLF}${HOST}${CRLF}content-length: 1${CRLF}transfer-encoding: chunked${CRLF}${CRLF}0${CRLF}${CRLF}`,
    error: 'malformedRequest',
    runs: 0,
  },
  {
    name: 'a transfer encoding other than chunked',
    text: `POST / HTTP/1.1${CRLF}${HOST}${CRLF}transfer-encoding: gzip, chunked${CRLF}${CRLF}0${CRLF}${CRLF}`,
    error: 'malformedRequest',
    runs: 0,
  },
  {
    name: 'two host headers',
    text: `GET / HTTP/1.1${CRLF}${HOST}${CRLF}host: other${CRLF}${CRLF}`,
    error: 'malformedRequest',
    runs: 0,
  },
  {
    name: 'bytes that are not HTTP', text: `SSH-2.0-lots${CRLF}${CRLF}`, error: 'malformedRequest', runs: 0,
  },
  {
    name: 'a deadline that is not a number',
    text: `GET / HTTP/1.1${CRLF}${HOST}${CRLF}guavayard-deadline-ms: soon${CRLF}${CRLF}`,
    error: 'malformedRequest',
    runs: 0,
  },
  {
    name: 'a broken chunk within a request that is being served',
    text: `POST / HTTP/1.1${CRLF}${HOST}${CRLF}transfer-encoding: chunked${CRLF}${CRLF}4${CRLF}part${CRLF}zz${CRLF}`,
    error: '',
    runs: 1,
  },
];

async function start(t: TestContext, connections = 100): Promise<[EmulatedTarget, number]> {
  const target = new EmulatedTarget('target-1');
  const entry = new TestEntry(undefined, 'munster', [], {
    headerBytes: 16 * 1024,
    headersTimeoutMs: 200,
    checkIntervalMs: 50,
    unreadMs: 60_000,
    connections,
  });
  entry.addTarget(await target.listen());
  const port = await entry.listen();
  t.after(async () => {
    await entry.close();
    target.server.closeAllConnections();
    target.server.close();
  });
  return [target, port];
}

/** Sends a text and reads until the response is complete or the connection is closed. */
async function exchange(socket: Socket, text: string): Promise<string> {
  let received = '';
  socket.write(text);
  return new Promise((resolve) => {
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString();
      if (received.includes('}')) resolve(received);
    });
    socket.on('error', () => resolve(received));
    socket.on('close', () => resolve(received));
  });
}

ABUSE_CASES.forEach(({
  name, text, error, runs,
}) => {
  test(`a caller that sends ${name}`, async (t) => {
    const [target, port] = await start(t);
    const socket = connect(port, '127.0.0.1');
    t.after(() => socket.destroy());
    const received = await exchange(socket, text);
    if (error === '') assert.ok(!received.includes('not-run'));
    else assert.match(received, new RegExp(`guavayard-error: ${error}`));
    assert.equal(received.includes('guavayard-outcome: not-run'), error !== '' && runs === 0);
    assert.ok(target.runs <= runs);
  });
});

test('connections above the limit are closed, and those within it are served', async (t) => {
  const [target, port] = await start(t, 2);
  const sockets = Array.from({ length: 2 }, () => connect(port, '127.0.0.1'));
  t.after(() => sockets.forEach((socket) => socket.destroy()));
  await Promise.all(sockets.map(async (socket) => new Promise((resolve) => {
    socket.once('connect', resolve);
  })));
  const request = `GET /}/ HTTP/1.1${CRLF}${HOST}${CRLF}${CRLF}`;
  const responses = await Promise.all(sockets.map(async (socket) => exchange(socket, request)));
  responses.forEach((response) => assert.match(response, /200 OK/));
  const refused = connect(port, '127.0.0.1');
  t.after(() => refused.destroy());
  assert.equal(await exchange(refused, request), '');
  assert.equal(target.runs, 2);
});
