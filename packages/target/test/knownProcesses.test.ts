import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { test, type TestContext } from 'node:test';

import type TargetRequest from '@guavayard/core/dispatch/TargetRequest';

import UndiciTargetSender from '../src/UndiciTargetSender';

const WORK_MS = 40;
/** Part of the duration of a request. */
const STEP_MS = 10;

interface TargetProcess {
  readonly server: Server;
  /** Paths of the requests that arrived. */
  readonly arrived: string[];
}

async function startProcess(t: TestContext, port: number): Promise<TargetProcess> {
  const arrived: string[] = [];
  const server = createServer((req, res) => {
    arrived.push(req.url ?? '');
    setTimeout(() => res.end(), WORK_MS);
  });
  server.listen(port, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return { server, arrived };
}

type Send = (
  path: string,
  purpose: NonNullable<TargetRequest['purpose']>,
  onHeaders?: () => void,
) => Promise<string>;

function createSend(sender: UndiciTargetSender, address: string): Send {
  return async (path, purpose, onHeaders = () => undefined) => new Promise((resolve) => {
    sender.send({ address, connectionLimit: 16 }, {
      method: 'GET', path, headers: [], body: null, purpose,
    }, {
      onConnected: () => undefined,
      onHeaders,
      onData: () => true,
      onEnd: () => resolve('complete'),
      onFailure: ({ kind }) => resolve(kind),
    });
  });
}

// Guards against a new process that counts as known once it has answered a request.
test('a request that reached a new process does not prove it to the next ones', async (t) => {
  const former = await startProcess(t, 0);
  const { port } = former.server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  const sender = new UndiciTargetSender();
  t.after(async () => sender.close());
  const send = createSend(sender, address);
  await send('/probe', 'probe');
  const first = send('/1', 'bound');
  await sleep(STEP_MS);
  // The former process goes on with the request that it has.
  former.server.close();
  const next = await startProcess(t, port);
  const second = send('/2', 'bound');
  await sleep(STEP_MS);
  former.server.closeAllConnections();
  assert.deepEqual(await Promise.all([first, second]), ['targetFailed', 'complete']);
  assert.deepEqual(next.arrived, ['/2']);
  assert.equal(sender.countReady(address), 0);
  assert.equal(await send('/3', 'bound'), 'targetUnreachable');
});

// Guards against targets that keep their connections and are taken for ones that close them.
test('a probe whose connection is used again at once is not one that ended it', async (t) => {
  const { server } = await startProcess(t, 0);
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const sender = new UndiciTargetSender();
  t.after(async () => sender.close());
  const send = createSend(sender, address);
  for (let count = 0; count < 2; count += 1) {
    let request: Promise<string> | undefined;
    // eslint-disable-next-line no-await-in-loop -- one probe after the other
    await send('/probe', 'probe', () => setImmediate(() => {
      request = send('/1', 'bound');
    }));
    if (count === 0) {
      // eslint-disable-next-line no-await-in-loop
      await request;
    }
  }
  server.closeAllConnections();
  await sleep(STEP_MS);
  assert.equal(sender.countReady(address), 0);
  assert.equal(sender.mayOpen(address), false);
});
