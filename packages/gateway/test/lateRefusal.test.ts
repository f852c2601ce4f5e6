import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { test } from 'node:test';

import CallerListener from '@guavayard/caller/CallerListener';
import sendFailure from '@guavayard/caller/sendFailure';

import type Dialect from '../src/Dialect';
import DirectReply from '../src/DirectReply';

const REQUEST = 'GET /lots HTTP/1.1\r\nhost: lots.example\r\n\r\n';
const WAIT_MS = 20;

const dialect = {
  createFailureResponse: () => ({ status: 503, headers: { 'content-length': '0' }, body: '' }),
} as unknown as Dialect;

function blockFor(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}

const FAILURE = { kind: 'overloaded', detail: '' } as const;

const refusals: Readonly<Record<string, (res: ServerResponse) => void>> = {
  'a gateway entry': (res) => {
    new DirectReply(res, dialect, undefined).refuse(FAILURE, undefined);
  },
  'an entry of `run`': (res) => sendFailure(res, FAILURE),
};

// Guards against a refusal that ends the connection before what has arrived behind it is read.
Object.entries(refusals).forEach(([name, refuse]) => {
  test(`a request that arrived behind one refused by a late timer is answered while ${name} drains`, async (t) => {
    const listener = new CallerListener({
      handle: (_req, res) => {
        setTimeout(() => refuse(res), WAIT_MS);
      },
    });
    listener.server.listen(0, '127.0.0.1');
    await once(listener.server, 'listening');
    t.after(() => {
      listener.server.close();
      listener.server.closeAllConnections();
    });
    listener.startDraining();
    const socket = connect((listener.server.address() as AddressInfo).port, '127.0.0.1');
    let received = '';
    socket.on('data', (data: Buffer) => {
      received += data.toString();
    });
    socket.write(REQUEST);
    await once(listener.server, 'request');
    await new Promise((resolve) => {
      setImmediate(() => {
        // The timer is due before the second request can be read.
        socket.write(REQUEST, resolve);
        blockFor(2 * WAIT_MS);
      });
    });
    await once(socket, 'close');
    assert.equal(received.split('HTTP/1.1 503 ').length - 1, 2);
    assert.match(received, /connection: keep-alive[^]*connection: close/i);
  });
});
