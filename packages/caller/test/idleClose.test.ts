import assert from 'node:assert/strict';
import { once } from 'node:events';
import {
  connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import { test } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';

import closeIdle from '../src/closeIdle';

/** Longer than a caller is given to close its side, in milliseconds. */
const STANDSTILL_MS = 200;

// Guards against a reset by a process that stood still before it could end the connection.
test('a caller of an idle connection is told of its end after a standstill', { timeout: 10_000 }, async (t) => {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => server.close());
  const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const [connection] = await once(server, 'connection') as [Socket];
  const isClosed = once(connection, 'close');
  const ended = new Promise<string>((resolve) => {
    caller.on('end', () => resolve('end'));
    caller.on('error', ({ message }) => resolve(message));
  });
  connection.pause();
  caller.resume();
  caller.write('a request that crosses the end');
  // As at a stop, timers run before the end is sent.
  await nextTurn();
  closeIdle(connection);
  const endsAtMs = performance.now() + STANDSTILL_MS;
  while (performance.now() < endsAtMs);
  assert.equal(await ended, 'end');
  await isClosed;
});
