import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { test } from 'node:test';

import CallerListener from '../src/CallerListener';

const REQUEST = 'GET /lots HTTP/1.1\r\nhost: lots.example\r\n\r\n';
const CALLERS = 24;
/** Time that each request takes from the process, in milliseconds. */
const WORK_MS = 5;
/** More than are served within the time for pending connections. */
const MAX_SERVED = 200;

/** Sends requests, each on a connection of its own, until one cannot be opened. */
async function sendAgainAndAgain(port: number): Promise<void> {
  for (;;) {
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    const closed = once(socket, 'close');
    socket.write(REQUEST);
    socket.resume();
    // eslint-disable-next-line no-await-in-loop -- one connection after the other
    await closed.catch(() => undefined);
    if (socket.bytesRead === 0) return;
  }
}

// Guards against a stop that accepts connections until its process ends.
test('a stopping listener closes while callers connect again and again', { timeout: 60_000 }, async () => {
  let isStopping = false;
  let served = 0;
  const listener = new CallerListener({
    handle: (_req, res: ServerResponse) => {
      if (isStopping) served += 1;
      const endsAtMs = performance.now() + WORK_MS;
      while (performance.now() < endsAtMs);
      res.end('the lots');
    },
  });
  listener.startDraining();
  listener.server.listen(0, '127.0.0.1');
  await once(listener.server, 'listening');
  const { port } = listener.server.address() as AddressInfo;
  const callers = Array.from({ length: CALLERS }, async () => sendAgainAndAgain(port));
  await once(listener.server, 'request');
  isStopping = true;
  await listener.stop();
  await Promise.all(callers);
  assert.ok(served < MAX_SERVED, `${served} requests were served during the stop`);
});
