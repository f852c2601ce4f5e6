import assert from 'node:assert/strict';
import { Socket } from 'node:net';
import { test } from 'node:test';

import ReconnectPolicy from '../src/session/ReconnectPolicy';
import type SessionTransport from '../src/session/SessionTransport';
import TcpTransport from '../src/session/TcpTransport';
import VmConnector from '../src/session/VmConnector';
import type VmIdentity from '../src/session/VmIdentity';

const IDENTITY: VmIdentity = {
  name: 'vm-1',
  region: 'munster',
  dataCentre: 'munster-1',
  startId: 'start',
  roles: ['entry'],
  address: '127.0.0.1:1',
};

/** Transport to a VM without power: no connection is established or refused. */
class SilentTransport extends TcpTransport implements SessionTransport {
  readonly sockets: Socket[] = [];

  override connect(): Socket {
    const socket = new Socket();
    this.sockets.push(socket);
    return socket;
  }
}

function createConnector(transport: SessionTransport): VmConnector {
  return new VmConnector('127.0.0.1:2', 'key', IDENTITY, {
    onOpen() {}, onMessage() {}, onClose() {},
  }, transport);
}

test('connects again after 200 ms to a VM that had no power when the first packet was sent', (t) => {
  t.mock.timers.enable({ apis: ['setTimeout'] });
  const transport = new SilentTransport();
  const connector = createConnector(transport);
  connector.start();
  t.mock.timers.tick(200);
  t.mock.timers.tick(0);
  assert.equal(transport.sockets.length, 2);
  assert.equal(transport.sockets[0]?.destroyed, true);
  connector.close();
});

test('keeps a connection that is established in time', (t) => {
  t.mock.timers.enable({ apis: ['setTimeout'] });
  const transport = new SilentTransport();
  const connector = createConnector(transport);
  connector.start();
  transport.sockets[0]?.emit('connect');
  t.mock.timers.tick(1000);
  assert.equal(transport.sockets.length, 1);
  connector.close();
});

test('gives slow links more time after some attempts', () => {
  const policy = new ReconnectPolicy();
  const timeouts = Array.from({ length: 10 }, () => {
    const { connectTimeoutMs } = policy;
    policy.recordLoss(true);
    return connectTimeoutMs;
  });
  assert.deepEqual(timeouts, [200, 200, 200, 200, 200, 200, 400, 800, 1600, 1600]);
});

test('tries a VM that refuses connections at least each 100 ms at first, then each 500 ms', () => {
  const policy = new ReconnectPolicy();
  const delays = Array.from({ length: 30 }, () => policy.recordLoss(false));
  assert.deepEqual(delays.slice(0, 3), [50, 100, 100]);
  assert.equal(delays.at(-1), 500);
});
