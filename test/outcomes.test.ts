import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';

import { Client } from 'undici';

import type RawRequest from './support/RawRequest';
import RawTarget from './support/RawTarget';
import TestEntry from './support/TestEntry';

type Script = ConstructorParameters<typeof RawTarget>[0];

const CRLF = '\r\n';
/** Much longer than any exchange takes; only the cases in which the target stalls reach it. */
const DEADLINE_MS = '400';
const LONG_BODY = 'b'.repeat(1024 * 1024);

function completeResponse(path: string): string {
  return `HTTP/1.1 200 OK${CRLF}content-length: ${path.length}${CRLF}${CRLF}${path}`;
}

function head(...lines: string[]): string {
  return ['HTTP/1.1 200 OK', ...lines, '', ''].join(CRLF);
}

const respond: Script = (socket, req) => socket.write(completeResponse(req.path));
const reset: Script = (socket) => socket.resetAndDestroy();
const close: Script = (socket) => socket.end();
const neverRespond: Script = () => undefined;
const write = (text: string): Script => (socket) => socket.write(text);
const writeAndClose = (text: string): Script => (socket) => socket.end(text);
const shedRequest: Script = write(
  `HTTP/1.1 503 Busy${CRLF}guavayard-outcome: not-run${CRLF}content-length: 0${CRLF}${CRLF}`,
);

interface Expected {
  /** HTTP status, or `aborted` if the connection is destroyed before the response is complete. */
  readonly status: number | 'aborted';
  readonly error?: string;
  readonly outcome?: string;
  /** Number of requests that reached the first and the second target. */
  readonly reached: readonly [number, number];
}

/** The first target fails as the script says, the second one responds with 200. */
interface Case {
  readonly name: string;
  readonly script: Script | 'closed';
  readonly post: Expected;
  readonly get: Expected;
}

const retried: Expected = { status: 200, reached: [1, 1] };
const unknown: Expected = {
  status: 502, error: 'targetFailed', outcome: 'unknown', reached: [1, 0],
};
const aborted: Expected = { status: 'aborted', reached: [1, 0] };
const firstResponded: Expected = { status: 200, reached: [1, 0] };
const expired: Expected = {
  status: 504, error: 'deadlineExceeded', outcome: 'unknown', reached: [1, 0],
};

const CASES: readonly Case[] = [
  {
    name: 'refuses the connection',
    script: 'closed',
    post: { status: 200, reached: [0, 1] },
    get: { status: 200, reached: [0, 1] },
  },
  {
    name: 'resets the connection before the response', script: reset, post: unknown, get: retried,
  },
  {
    name: 'closes the connection before the response', script: close, post: unknown, get: retried,
  },
  {
    name: 'closes the connection within the response headers',
    script: writeAndClose(`HTTP/1.1 200 OK${CRLF}content-le`),
    post: unknown,
    get: retried,
  },
  {
    name: 'closes the connection before the end of the content length',
    script: writeAndClose(`${head('content-length: 10')}12345`),
    post: aborted,
    get: retried,
  },
  {
    name: 'closes the connection before the last chunk',
    script: writeAndClose(`${head('transfer-encoding: chunked')}5${CRLF}12345${CRLF}`),
    post: aborted,
    get: retried,
  },
  {
    name: 'never responds', script: neverRespond, post: expired, get: expired,
  },
  {
    name: 'stalls within the response body',
    script: write(`${head('content-length: 10')}12345`),
    post: aborted,
    get: expired,
  },
  {
    name: 'responds without a content length or chunked encoding',
    script: writeAndClose(`${head('connection: close')}12345`),
    post: {
      status: 502, error: 'unframedAnswer', outcome: 'unknown', reached: [1, 0],
    },
    get: retried,
  },
  {
    name: 'responds with two content lengths',
    script: write(`${head('content-length: 5', 'content-length: 10')}12345`),
    post: unknown,
    get: retried,
  },
  {
    name: 'responds with a content length and a transfer encoding',
    script: write(`${head('content-length: 5', 'transfer-encoding: chunked')}0${CRLF}${CRLF}`),
    post: unknown,
    get: retried,
  },
  {
    name: 'responds with bytes that are not HTTP', script: write(`SSH-2.0${CRLF}${CRLF}`), post: unknown, get: retried,
  },
  {
    name: 'responds twice',
    script: (socket, req) => socket.write(completeResponse(req.path) + completeResponse('/stranger')),
    post: firstResponded,
    get: firstResponded,
  },
  {
    name: 'sends extra bytes after the response',
    script: (socket, req) => socket.write(`${completeResponse(req.path)}left over`),
    post: firstResponded,
    get: firstResponded,
  },
  {
    name: 'sheds the request and marks it as not run', script: shedRequest, post: retried, get: retried,
  },
];

async function startTarget(t: TestContext, script: Script): Promise<[RawTarget, string]> {
  const target = new RawTarget((socket, req) => (
    req.path.startsWith('/ok') ? respond(socket, req) : script(socket, req)
  ));
  const address = await target.listen();
  t.after(async () => target.close());
  return [target, address];
}

async function startEntry(t: TestContext, addresses: readonly string[]): Promise<Client> {
  const entry = new TestEntry();
  addresses.forEach((address) => entry.addTarget(address));
  const client = new Client(`http://127.0.0.1:${await entry.listen()}`);
  t.after(async () => {
    await client.destroy();
    await entry.close();
    assert.equal(entry.dispatchChecker.counts.repeatedRun, 0);
  });
  return client;
}

function countReached(target: RawTarget): number {
  return target.received.filter((req: RawRequest) => !req.path.startsWith('/ok')).length;
}

async function receive(client: Client, method: 'GET' | 'POST', body?: string): Promise<{
  status: number | 'aborted'; error?: unknown; outcome?: unknown; text?: string;
}> {
  const headers = { 'guavayard-deadline-ms': DEADLINE_MS };
  try {
    const res = await client.request({
      method, path: '/case', headers, body,
    });
    const text = await res.body.text();
    return {
      status: res.statusCode,
      error: res.headers['guavayard-error'],
      outcome: res.headers['guavayard-outcome'],
      text,
    };
  } catch {
    return { status: 'aborted' };
  }
}

async function check(t: TestContext, script: Case['script'], method: 'GET' | 'POST', expected: Expected): Promise<void> {
  const [first, firstAddress] = await startTarget(t, script === 'closed' ? respond : script);
  if (script === 'closed') await first.close();
  const [second, secondAddress] = await startTarget(t, respond);
  const client = await startEntry(t, [firstAddress, secondAddress]);

  const received = await receive(client, method, method === 'POST' ? 'hold' : undefined);
  assert.equal(received.status, expected.status);
  assert.equal(received.error, expected.error);
  assert.equal(received.outcome, expected.outcome);
  if (received.status === 200) assert.equal(received.text, '/case');
  assert.deepEqual([countReached(first), countReached(second)], expected.reached);

  // The next requests get their own responses, on the same connection if it is still open.
  for (let index = 0; index < 3; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- sequential, on one connection
    const next = await client.request({ method: 'GET', path: `/ok/${index}` });
    // eslint-disable-next-line no-await-in-loop -- as above
    assert.equal(await next.body.text(), `/ok/${index}`);
  }
}

CASES.forEach(({
  name, script, post, get,
}) => {
  test(`POST: target ${name}`, async (t) => check(t, script, 'POST', post));
  test(`GET: target ${name}`, async (t) => check(t, script, 'GET', get));
});

test('a failure during the request body leaves the connection of the caller usable', async (t) => {
  const [target, address] = await startTarget(t, reset);
  const client = await startEntry(t, [address]);
  const received = await receive(client, 'POST', LONG_BODY);
  assert.equal(received.error, 'targetFailed');
  assert.equal(received.outcome, 'unknown');
  assert.equal(target.received.length, 1);
  const next = await client.request({ method: 'GET', path: '/ok/1' });
  assert.equal(await next.body.text(), '/ok/1');
});

test('the outcome stays unknown if a retry did not run after an attempt that may have', async (t) => {
  const [first, firstAddress] = await startTarget(t, reset);
  const [second, secondAddress] = await startTarget(t, respond);
  await second.close();
  const client = await startEntry(t, [firstAddress, secondAddress]);
  const received = await receive(client, 'GET');
  assert.equal(received.outcome, 'unknown');
  assert.equal(first.received.length, 1);
});

interface BusySystem {
  readonly target: RawTarget;
  readonly clients: readonly [Client, Client];
}

/** Starts an entry and a target that accepts one connection and answers nothing. */
async function startBusy(t: TestContext, hasQueue: boolean): Promise<BusySystem> {
  const [target, address] = await startTarget(t, neverRespond);
  const entry = new TestEntry();
  if (hasQueue) entry.queueAttempts();
  entry.addTarget(address, 1);
  const origin = `http://127.0.0.1:${await entry.listen()}`;
  const clients = [new Client(origin), new Client(origin)] as const;
  t.after(async () => {
    await Promise.all(clients.map(async (client) => client.destroy()));
    await entry.close();
  });
  return { target, clients };
}

test('a request for which no connection is left is refused at once, and not sent', async (t) => {
  const { target, clients } = await startBusy(t, false);
  const blocker = clients[0].request({
    method: 'POST', path: '/blocker', headers: { 'guavayard-deadline-ms': '1500' },
  });
  await target.waitFor(() => target.received.length === 1);
  const refused = await receive(clients[1], 'POST', 'hold');
  assert.equal(refused.error, 'noTarget');
  assert.equal(refused.outcome, 'not-run');
  await (await blocker).body.dump();
  assert.deepEqual(target.received.map((req) => req.path), ['/blocker']);
});

test('a request whose deadline passes before a connection is free is not sent', async (t) => {
  const { target, clients } = await startBusy(t, true);
  const blocker = clients[0].request({
    method: 'POST', path: '/blocker', headers: { 'guavayard-deadline-ms': '1500' },
  });
  await target.waitFor(() => target.received.length === 1);
  const waiting = await receive(clients[1], 'POST', 'hold');
  assert.equal(waiting.error, 'deadlineBeforeDispatch');
  assert.equal(waiting.outcome, 'not-run');
  const blocked = await blocker;
  assert.equal(blocked.headers['guavayard-error'], 'deadlineExceeded');
  await blocked.body.dump();
  assert.deepEqual(target.received.map((req) => req.path), ['/blocker']);
});

test('a caller that disconnects closes the connection to the target', async (t) => {
  const [target, address] = await startTarget(t, neverRespond);
  const client = await startEntry(t, [address]);
  const gone = client.request({ method: 'POST', path: '/case', body: 'hold' }).catch(() => 'gone');
  await target.waitFor(() => target.received.length === 1);
  await client.destroy();
  assert.equal(await gone, 'gone');
  await target.waitFor(() => target.openConnections === 0);
  assert.equal(target.received.length, 1);
});

test('deadline and attempt are forwarded to the target, and only the first layer of a chain retries', async (t) => {
  const [first, firstAddress] = await startTarget(t, reset);
  const [second, secondAddress] = await startTarget(t, respond);
  const client = await startEntry(t, [firstAddress, secondAddress]);
  assert.equal((await receive(client, 'GET')).status, 200);
  const attempts = [first, second].map((target) => target.received[0]?.headers.get('guavayard-attempt'));
  assert.deepEqual(attempts, ['1', '2']);
  const remainingMs = Number(second.received[0]?.headers.get('guavayard-deadline-ms'));
  assert.ok(remainingMs > 0 && remainingMs <= Number(DEADLINE_MS));
  const inner = await client.request({
    method: 'GET', path: '/case', headers: { 'guavayard-attempt': '1' },
  });
  assert.equal(inner.headers['guavayard-outcome'], 'unknown');
  await inner.body.dump();
  assert.equal(second.received.length, 1);
});
