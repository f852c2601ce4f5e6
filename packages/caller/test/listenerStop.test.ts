import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { test } from 'node:test';

import CallerListener from '../src/CallerListener';

const CALLERS = 40;
const REQUEST = 'GET /lots HTTP/1.1\r\nhost: lots.example\r\n\r\n';

/** Sends a request on a new connection and returns all data received until it closes. */
async function send(port: number, onSent: () => void): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  await once(socket, 'connect');
  socket.write(REQUEST);
  onSent();
  let response = '';
  socket.on('data', (chunk: Buffer) => {
    response += chunk.toString();
  });
  socket.on('error', (err) => {
    response += err.message;
  });
  await once(socket, 'close');
  return response;
}

test('a stopping listener answers requests that have arrived but are still unread', async () => {
  const listener = new CallerListener({
    handle: (_req, res: ServerResponse) => {
      res.end('the lots');
    },
  });
  listener.server.listen(0, '127.0.0.1');
  await once(listener.server, 'listening');
  const { port } = listener.server.address() as AddressInfo;
  let stopped: Promise<void> | undefined;
  // The kernel completes the TCP handshakes before this process can accept the connections.
  const responses = Array.from({ length: CALLERS }, async () => send(port, () => {
    stopped ??= listener.stop();
  }));
  (await Promise.all(responses)).forEach((response) => {
    assert.match(response, /^HTTP\/1\.1 200 OK\r\n(.|\r\n)*the lots$/);
  });
  await stopped;
});

test('an exception of the handler aborts its request and leaves the listener serving', async (t) => {
  const errors: string[] = [];
  const listener = new CallerListener({
    handle: (req, res: ServerResponse) => {
      if (errors.length === 0) throw new Error(`unexpected ${req.url}`);
      res.setHeader('connection', 'close');
      res.end('the lots');
    },
  }, { onError: (err) => errors.push(err.message) });
  t.after(() => listener.server.close());
  listener.server.listen(0, '127.0.0.1');
  await once(listener.server, 'listening');
  const { port } = listener.server.address() as AddressInfo;
  assert.equal(await send(port, () => undefined), '');
  assert.deepEqual(errors, ['unexpected /lots']);
  assert.match(await send(port, () => undefined), /the lots$/);
});
