import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';

import CallerListener from '../src/CallerListener';
import cutResponse from '../src/cutResponse';
import sendFailure from '../src/sendFailure';

const PART = 'the lots';

/**
 * Sends a request of HTTP/1.0 and reads a part of the response.
 *
 * @param end - ends the response once the part has been received
 * @returns how the connection ends for the caller
 */
async function receive(t: TestContext, end: (res: ServerResponse) => void): Promise<string> {
  const responses: ServerResponse[] = [];
  const { server } = new CallerListener({
    handle: (_req, res) => {
      responses.push(res);
      res.writeHead(200).write(PART);
    },
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const ended = new Promise<string>((resolve) => {
    socket.on('end', () => resolve('end'));
    socket.on('error', (err: NodeJS.ErrnoException) => resolve(err.code ?? ''));
  });
  socket.write('GET /lots HTTP/1.0\r\nhost: lots.example\r\n\r\n');
  let received = '';
  while (!received.endsWith(PART)) {
    // eslint-disable-next-line no-await-in-loop -- one chunk at a time
    received += String((await once(socket, 'data'))[0]);
  }
  responses.forEach(end);
  return ended;
}

// Guards against a part of a response that a caller of HTTP/1.0 takes for all of it.
[
  { name: 'that is cut', cut: cutResponse },
  { name: 'that fails midway', cut: (res: ServerResponse) => sendFailure(res, { kind: 'targetFailed', detail: '' }) },
].forEach(({ name, cut }) => {
  test(`a response ${name} does not look complete to HTTP/1.0`, async (t) => {
    assert.equal(await receive(t, cut), 'ECONNRESET');
  });
});

test('a whole response to HTTP/1.0 ends with its connection', async (t) => {
  assert.equal(await receive(t, (res) => res.end()), 'end');
});
