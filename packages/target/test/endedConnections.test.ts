import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type OutgoingHttpHeaders, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { test, type TestContext } from 'node:test';

import type TargetRequest from '@guavayard/core/dispatch/TargetRequest';

import UndiciTargetSender from '../src/UndiciTargetSender';

const CONNECTIONS = 6;
const WORK_MS = 20;

interface Rig {
  readonly server: Server;
  readonly sender: UndiciTargetSender;
  readonly address: string;
  /** Paths of the requests that arrived. */
  readonly arrived: string[];
  /** Sends a request and returns the kind of its failure, `complete` without one. */
  readonly send: (path: string, purpose: TargetRequest['purpose']) => Promise<string>;
}

async function createRig(t: TestContext, headers: OutgoingHttpHeaders = {}): Promise<Rig> {
  const arrived: string[] = [];
  const server = createServer((req, res) => {
    arrived.push(req.url ?? '');
    setTimeout(() => res.writeHead(200, headers).end(), WORK_MS);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const sender = new UndiciTargetSender();
  t.after(async () => {
    server.close();
    server.closeAllConnections();
    await sender.close();
  });
  const send: Rig['send'] = async (path, purpose) => new Promise((resolve) => {
    sender.send({ address, connectionLimit: 16 }, {
      method: 'GET', path, headers: [], body: null, ...(purpose === undefined ? {} : { purpose }),
    }, {
      onConnected: () => undefined,
      onHeaders: () => undefined,
      onData: () => true,
      onEnd: () => resolve('complete'),
      onFailure: ({ kind }) => resolve(kind),
    });
  });
  return {
    server, sender, address, arrived, send,
  };
}

// Guards against requests that the client moves from an ended connection to a new process.
test('a request for an open connection that has just ended goes on no new one', async (t) => {
  const {
    server, sender, address, arrived, send,
  } = await createRig(t);
  await Promise.all(Array.from({ length: CONNECTIONS }, async () => send('/probe', 'probe')));
  await sleep(WORK_MS);
  assert.equal(sender.countReady(address), CONNECTIONS);
  server.closeAllConnections();
  // This VM has not read the ends of the connections yet.
  const kinds = await Promise.all(Array.from({ length: CONNECTIONS }, async () => (
    send('/request', 'bound'))));
  assert.ok(!arrived.includes('/request'));
  assert.deepEqual(new Set(kinds), new Set(['targetUnreachable']));
});

test('a request opens a connection while another one shows that the process lives', async (t) => {
  const { sender, address, send } = await createRig(t);
  await send('/probe', 'probe');
  const kinds = await Promise.all([send('/1', 'bound'), send('/2', 'bound')]);
  assert.deepEqual(kinds, ['complete', 'complete']);
  assert.equal(sender.countReady(address), 2);
});

test('no request opens a connection once one has ended, until a probe is answered', async (t) => {
  const {
    server, sender, address, arrived, send,
  } = await createRig(t);
  await send('/probe', 'probe');
  server.closeAllConnections();
  await sleep(WORK_MS);
  assert.equal(sender.mayOpen(address), false);
  assert.equal(await send('/request', 'bound'), 'targetUnreachable');
  assert.ok(!arrived.includes('/request'));
  await send('/probe', 'probe');
  assert.equal(await send('/request', 'bound'), 'complete');
});

// Guards against targets that keep no connection and so never count as known.
[{ connection: 'close' }, { 'keep-alive': 'timeout=1' }].forEach((headers) => {
  test(`a probe allows one request to a target that says ${JSON.stringify(headers)}`, async (t) => {
    const { sender, address, send } = await createRig(t, headers);
    await send('/probe', 'probe');
    await send('/probe', 'probe');
    assert.equal(sender.countReady(address), 0);
    assert.equal(await send('/1', 'bound'), 'complete');
    assert.equal(await send('/2', 'bound'), 'targetUnreachable');
  });
});
