import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { test } from 'node:test';

import CallerListener from '../src/CallerListener';

const CALLERS = 40;
const REQUEST = 'GET /lots HTTP/1.1\r\nhost: lots.example\r\n\r\n';

/** Sends a request on a connection of its own and returns what came back when it is closed. */
async function send(port: number, onSent: () => void): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  await once(socket, 'connect');
  socket.write(REQUEST);
  onSent();
  let answer = '';
  socket.on('data', (chunk: Buffer) => {
    answer += chunk.toString();
  });
  socket.on('error', (err) => {
    answer += err.message;
  });
  await once(socket, 'close');
  return answer;
}

test('requests that have arrived but were not read yet are answered by a listener that stops', async () => {
  const listener = new CallerListener({
    handle: (_req, res: ServerResponse) => {
      res.end('the lots');
    },
  });
  listener.server.listen(0, '127.0.0.1');
  await once(listener.server, 'listening');
  const { port } = listener.server.address() as AddressInfo;
  let stopped: Promise<void> | undefined;
  // The kernel completes the connections before this process gets to accept them.
  const answers = Array.from({ length: CALLERS }, async () => send(port, () => {
    stopped ??= listener.stop();
  }));
  (await Promise.all(answers)).forEach((answer) => {
    assert.match(answer, /^HTTP\/1\.1 200 OK\r\n(.|\r\n)*the lots$/);
  });
  await stopped;
});
