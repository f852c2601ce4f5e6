import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { createServer as createTcpServer, type AddressInfo, type Server } from 'node:net';
import { test, type TestContext } from 'node:test';

import type AnswerHandler from '@guavayard/core/dispatch/AnswerHandler';
import type Dispatch from '@guavayard/core/dispatch/Dispatch';
import type Failure from '@guavayard/core/errors/Failure';

import UndiciTargetSender from '../src/UndiciTargetSender';

/** Connections that requests may take. */
const LIMIT = 3;
/** Time after which a test gives up waiting, in milliseconds. */
const PATIENCE_MS = 5000;

/** What has come of an exchange so far. */
interface Outcome {
  isWritten: boolean;
  isAnswered: boolean;
  failure: Failure | undefined;
}

interface Rig {
  /** Paths of the requests that arrived. */
  readonly arrivals: string[];
  /** Sends a request and returns its outcome, which changes. */
  readonly send: (path: string, purpose?: 'probe' | 'bound') => Outcome & Dispatch;
  readonly connectionCount: () => number;
}

async function listen(t: TestContext, server: Server): Promise<string> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function createRig(t: TestContext, address: string): Pick<Rig, 'send'> {
  const sender = new UndiciTargetSender();
  t.after(async () => sender.close());
  return {
    send: (path, purpose) => {
      const outcome: Outcome = { isWritten: false, isAnswered: false, failure: undefined };
      const handler: AnswerHandler = {
        onConnected: () => Object.assign(outcome, { isWritten: true }),
        onHeaders: () => Object.assign(outcome, { isAnswered: true }),
        onData: () => true,
        onEnd: () => undefined,
        onFailure: (failure) => Object.assign(outcome, { failure }),
      };
      const dispatch = sender.send({ address, connectionLimit: LIMIT }, {
        method: 'GET', path, headers: [], body: null, ...(purpose === undefined ? {} : { purpose }),
      }, handler);
      return Object.assign(outcome, {
        resume: () => dispatch.resume(),
        abort: (reason: Failure) => dispatch.abort(reason),
      });
    },
  };
}

/** Starts a target that answers `/probe` at once, and other requests after the test. */
async function startBusyTarget(t: TestContext): Promise<Rig> {
  const arrivals: string[] = [];
  let connections = 0;
  const server = createServer((req, res) => {
    arrivals.push(req.url ?? '');
    if (req.url === '/probe') res.end();
  });
  server.on('connection', () => {
    connections += 1;
  });
  t.after(() => server.closeAllConnections());
  return { arrivals, connectionCount: () => connections, ...createRig(t, await listen(t, server)) };
}

async function waitFor(isMet: () => boolean): Promise<void> {
  const endsAtMs = performance.now() + PATIENCE_MS;
  while (!isMet()) {
    assert.ok(performance.now() < endsAtMs, `in vain for ${PATIENCE_MS} ms: ${isMet}`);
    // eslint-disable-next-line no-await-in-loop -- one look after the other
    await new Promise((resolve) => {
      setTimeout(resolve, 1);
    });
  }
}

// Guards against a probe that waits behind a request: its target counted as lost, and was not.
test('a probe is answered while requests hold all connections that they may take', async (t) => {
  const { send, arrivals } = await startBusyTarget(t);
  for (let count = 0; count < LIMIT; count += 1) send(`/work-${count}`);
  await waitFor(() => arrivals.length === LIMIT);
  for (let count = 0; count < 3; count += 1) {
    const probe = send('/probe', 'probe');
    // eslint-disable-next-line no-await-in-loop -- one after the other
    await waitFor(() => probe.isAnswered || probe.failure !== undefined);
    assert.equal(probe.failure, undefined);
  }
});

// Guards against a request that takes the connection of the probes, so that the next one waits.
test('requests leave the connection that a probe has used to the next one', async (t) => {
  const { send, arrivals, connectionCount } = await startBusyTarget(t);
  for (let count = 0; count < LIMIT; count += 1) send(`/work-${count}`);
  await waitFor(() => arrivals.length === LIMIT);
  const first = send('/probe', 'probe');
  await waitFor(() => first.isAnswered);
  const refused = send('/late', 'bound');
  await waitFor(() => refused.failure !== undefined);
  const second = send('/probe', 'probe');
  await waitFor(() => second.isAnswered);
  assert.ok(connectionCount() <= LIMIT + 2, `${connectionCount()} connections`);
});

// Guards against a request that is written to its target long after it was given to it.
test('a request for which no connection is left fails at once, and is not sent', async (t) => {
  const { send, arrivals } = await startBusyTarget(t);
  const running = Array.from({ length: LIMIT }, (_, count) => send(`/work-${count}`));
  await waitFor(() => arrivals.length === LIMIT);
  const late = send('/late');
  await waitFor(() => late.failure !== undefined || late.isWritten);
  assert.deepEqual([late.isWritten, late.failure?.kind, late.failure?.isUnsent], [false, 'targetUnreachable', true]);
  running[0]?.abort({ kind: 'callerGone', detail: '' });
  const next = send('/next');
  await waitFor(() => arrivals.includes('/next') || next.failure !== undefined);
  assert.equal(next.failure, undefined);
  assert.ok(!arrivals.includes('/late'));
});

// Guards against noticing a lost target later because earlier probes hold the connection for them.
test('probes that were given up before they had a response keep no later one waiting', async (t) => {
  const sockets = new Set<{ destroy: () => void }>();
  const server = createTcpServer((socket) => sockets.add(socket));
  t.after(() => sockets.forEach((socket) => socket.destroy()));
  const { send } = createRig(t, await listen(t, server));
  for (let count = 0; count < LIMIT; count += 1) send(`/work-${count}`);
  for (let count = 0; count < 2 * LIMIT; count += 1) {
    const probe = send('/probe', 'probe');
    // eslint-disable-next-line no-await-in-loop -- one after the other
    await waitFor(() => probe.isWritten);
    probe.abort({ kind: 'targetUnreachable', detail: 'probe' });
  }
  assert.ok(sockets.size > LIMIT);
});
