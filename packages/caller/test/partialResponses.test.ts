import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';

import CallerListener from '../src/CallerListener';
import defaultLimits from '../src/defaultLimits';

const REQUEST = 'GET /lots HTTP/1.0\r\nhost: lots.example\r\n\r\n';
const UNREAD_MS = 200;
/** More than the kernel buffers for one connection. */
const LONG_BYTES = 32 * 1024 * 1024;

interface Exchange {
  readonly listener: CallerListener;
  readonly socket: Socket;
  readonly res: ServerResponse;
}

/** Sends a request of HTTP/1.0 and starts its response, of which the caller reads nothing yet. */
async function start(t: TestContext): Promise<Exchange> {
  let onRequest: (res: ServerResponse) => void = () => undefined;
  const started = new Promise<ServerResponse>((resolve) => {
    onRequest = resolve;
  });
  const listener = new CallerListener(
    { handle: (_req, res) => onRequest(res) },
    { limits: { ...defaultLimits, unreadMs: UNREAD_MS } },
  );
  listener.server.listen(0, '127.0.0.1');
  await once(listener.server, 'listening');
  const { port } = listener.server.address() as AddressInfo;
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
  socket.pause();
  t.after(() => {
    socket.destroy();
    listener.server.close();
    listener.server.closeAllConnections();
  });
  socket.write(REQUEST);
  const res = await started;
  res.writeHead(200);
  return { listener, socket, res };
}

/** @returns how a connection ends for its caller, and the length of what it was sent */
async function read(socket: Socket): Promise<{ end: string; bytes: number }> {
  let bytes = 0;
  let hasEnded = false;
  socket.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
  });
  const end = await new Promise<string>((resolve) => {
    // After a regular end, a reset is reported as EPIPE.
    socket.on('error', ({ code }: NodeJS.ErrnoException) => (
      resolve(hasEnded && code === 'EPIPE' ? 'end' : String(code))));
    socket.on('end', () => {
      hasEnded = true;
      if (socket.writableEnded) {
        resolve('end');
        return;
      }
      // Node reports a reset behind unread data as a regular end, but a write after it fails.
      socket.write('x', (err) => {
        if (!err) resolve('end');
      });
    });
    socket.resume();
  });
  return { end, bytes };
}

interface Case {
  readonly name: string;
  /** Length of the response, or of the part that is written, in bytes. */
  readonly bytes: number;
  /** Whether the response is ended, so that only its delivery is missing. */
  readonly isEnded: boolean;
  readonly interrupt: (exchange: Exchange) => void;
}

const CASES: readonly Case[] = [
  {
    name: 'whose caller sends what is no request',
    bytes: 1,
    isEnded: false,
    interrupt: ({ socket }) => socket.write('no request\r\n\r\n'),
  },
  {
    name: 'that is queued, and whose caller sends what is no request',
    bytes: LONG_BYTES,
    isEnded: true,
    interrupt: ({ socket }) => socket.write('no request\r\n\r\n'),
  },
  {
    name: 'that its caller does not read in time',
    bytes: LONG_BYTES,
    isEnded: true,
    interrupt: () => undefined,
  },
  {
    name: 'that is not complete as the process ends',
    bytes: 1,
    isEnded: false,
    interrupt: ({ listener }) => listener.cutAllPartial(),
  },
  {
    name: 'that is queued as the process ends',
    bytes: LONG_BYTES,
    isEnded: true,
    interrupt: ({ listener }) => listener.cutAllPartial(),
  },
];

// Guards against a part of a response that a caller of HTTP/1.0 takes for all of it.
CASES.forEach(({
  name, bytes, isEnded, interrupt,
}) => {
  test(`a response ${name} does not look complete to HTTP/1.0`, { timeout: 20_000 }, async (t) => {
    const exchange = await start(t);
    const { res, socket } = exchange;
    const closed = once(res, 'close');
    if (isEnded) res.end(Buffer.alloc(bytes));
    else res.write(Buffer.alloc(bytes));
    interrupt(exchange);
    await closed;
    assert.equal((await read(socket)).end, 'ECONNRESET');
  });
});

/** Ends the caller's side once the response has started. */
async function endFromCaller({ socket, res }: Exchange): Promise<void> {
  const { socket: connection } = res;
  assert.ok(connection);
  const ended = once(connection, 'end');
  socket.end();
  await ended;
}

test('a response whose caller ends its side does not look complete to HTTP/1.0', async (t) => {
  const exchange = await start(t);
  const { res, socket } = exchange;
  res.write('part');
  // A caller that cannot write any more is told of a reset only if it has read all before.
  const received = once(socket, 'data');
  const ended = read(socket);
  await received;
  await endFromCaller(exchange);
  res.end('rest');
  assert.equal((await ended).end, 'ECONNRESET');
});

test('a response that is queued as its caller ends its side reaches HTTP/1.0 as a whole', async (t) => {
  const exchange = await start(t);
  exchange.res.end(Buffer.alloc(LONG_BYTES));
  await endFromCaller(exchange);
  const { bytes } = await read(exchange.socket);
  assert.ok(bytes > LONG_BYTES, `${bytes} bytes`);
});
