import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';

import ResourceAccount from '@guavayard/core/limits/ResourceAccount';

import CallerListener from '../src/CallerListener';

type Handle = (req: IncomingMessage, res: ServerResponse) => void;

const LIMIT = 10 * 1024 * 1024;

interface Rig {
  readonly account: ResourceAccount;
  readonly listener: CallerListener;
  readonly connect: () => Promise<Socket>;
}

async function start(t: TestContext, handle: Handle, limitBytes = LIMIT): Promise<Rig> {
  const account = new ResourceAccount(limitBytes, () => performance.now());
  const listener = new CallerListener({ handle }, { account });
  listener.server.listen(0, '127.0.0.1');
  await once(listener.server, 'listening');
  t.after(() => {
    listener.server.close();
    listener.server.closeAllConnections();
  });
  const { port } = listener.server.address() as AddressInfo;
  return {
    account,
    listener,
    connect: async () => {
      const socket = connect(port, '127.0.0.1');
      socket.on('error', () => undefined);
      await once(socket, 'connect');
      return socket;
    },
  };
}

function createRequest(path: string, ...lines: string[]): string {
  return [`GET ${path} HTTP/1.1`, 'host: a', ...lines, '', ''].join('\r\n');
}

/** Reads until the connection ends, or a number of responses has arrived. */
async function readBodies(socket: Socket, count: number): Promise<string[]> {
  let received = '';
  const read = (): string[] => [...received.matchAll(/<(.*?)>/g)].map(([, text]) => text ?? '');
  await new Promise<void>((resolve) => {
    socket.on('close', () => resolve());
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString();
      if (read().length >= count) resolve();
    });
  });
  return read();
}

// Guards against responses in another order than the requests, and against pipelines that stall.
test('100 requests in one chunk are answered in order, whatever their responses take', { timeout: 20_000 }, async (t) => {
  let active = 0;
  let mostActive = 0;
  const { connect: open, account } = await start(t, (req, res) => {
    active += 1;
    mostActive = Math.max(mostActive, active);
    setTimeout(() => {
      active -= 1;
      res.end(`<${req.url}>`);
    }, (Number(req.url?.slice(1)) * 7) % 13);
  });
  const socket = await open();
  const paths = Array.from({ length: 100 }, (_, index) => `/${index}`);
  socket.write(paths.map((path) => createRequest(path)).join(''));
  assert.deepEqual(await readBodies(socket, paths.length), paths);
  assert.equal(mostActive <= 100, true);
  socket.destroy();
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  assert.equal(account.usedBytes, 0);
});

// Guards against a pipeline of which more than a few requests are in progress.
test('a pipelined connection is not read while 16 of its requests are in progress', { timeout: 20_000 }, async (t) => {
  const waiting: ServerResponse[] = [];
  let mostActive = 0;
  const { connect: open } = await start(t, (req, res) => {
    waiting.push(res);
    mostActive = Math.max(mostActive, waiting.length);
    setTimeout(() => {
      waiting.splice(waiting.indexOf(res), 1);
      res.end(`<${req.url}>`);
    }, 5);
  });
  const socket = await open();
  socket.write(createRequest('/a') + createRequest('/b'));
  const first = readBodies(socket, 2);
  assert.deepEqual(await first, ['/a', '/b']);
  mostActive = 0;
  const paths = Array.from({ length: 1000 }, (_, index) => `/${index}`);
  const rest = readBodies(socket, paths.length);
  socket.write(paths.map((path) => createRequest(path, `a: ${'x'.repeat(200)}`)).join(''));
  assert.deepEqual(await rest, paths);
  // A slice of 1 KiB may hold the heads of a few requests.
  assert.equal(mostActive <= 16 + 5, true, `${mostActive} in progress`);
  socket.destroy();
});

// Guards against a request that runs, and whose caller cannot get its response.
test('requests behind a refusal that closes the connection are not run', { timeout: 20_000 }, async (t) => {
  const ran: string[] = [];
  // Room for a connection and two requests, and not for a body.
  const { connect: open } = await start(t, (req, res) => {
    ran.push(req.url ?? '');
    setTimeout(() => res.end(`<${req.url}>`), 20);
  }, 40 * 1024);
  const socket = await open();
  let received = '';
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString();
  });
  const closed = once(socket, 'close');
  socket.write(`${createRequest('/first')}POST /refused HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n\r\n`);
  socket.write(createRequest('/behind').repeat(5));
  await closed;
  assert.deepEqual(ran, ['/first']);
  assert.deepEqual([...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status), ['200', '503']);
});

// The server tells only the response that is being sent, so that requests of a caller that has gone
// would be sent to targets, and what they hold would not be given back.
test('all requests of a pipeline learn that their caller has gone', async (t) => {
  const closed: string[] = [];
  let arrived = 0;
  const rig = await start(t, (req, res) => {
    arrived += 1;
    res.once('close', () => closed.push(req.url ?? ''));
    if (req.url === '/3') res.end('<3>');
  });
  const socket = await rig.connect();
  socket.write(['/1', '/2', '/3'].map((path) => createRequest(path)).join(''));
  while (arrived < 3) {
    // eslint-disable-next-line no-await-in-loop -- the requests arrive in later turns
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  socket.destroy();
  while (rig.listener.connectionCount > 0) {
    // eslint-disable-next-line no-await-in-loop -- the close arrives in a later turn
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  assert.deepEqual(closed.sort(), ['/1', '/2', '/3']);
  await rig.listener.stop();
});
