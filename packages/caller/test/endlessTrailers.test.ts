import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type AddressInfo } from 'node:net';
import { test } from 'node:test';

import ResourceAccount from '@guavayard/core/limits/ResourceAccount';

import CallerListener from '../src/CallerListener';
import ReplayableBody from '../src/ReplayableBody';

const HEAD = 'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n';
/** Much more than the limit on heads, in bytes. */
const MAX_SENT_BYTES = 4 * 1024 * 1024;
const CASES = {
  'trailer lines': 'a-trailer: of-some-length\r\n'.repeat(100),
  'one trailer line': 'a'.repeat(2000),
};

// Guards against memory that grows with trailers that have no end.
Object.entries(CASES).forEach(([name, part]) => {
  test(`a request whose trailers have no end is ended: ${name}`, { timeout: 20_000 }, async (t) => {
    const account = new ResourceAccount(1e7, () => performance.now());
    const { server } = new CallerListener({
      handle: (req) => new ReplayableBody(req, false).discard(),
    }, { account });
    const ended: (string | undefined)[] = [];
    server.on('clientError', ({ code }: NodeJS.ErrnoException) => ended.push(code));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    t.after(() => {
      socket.destroy();
      server.close();
      server.closeAllConnections();
    });
    socket.on('error', () => undefined);
    socket.resume();
    // The connection may end by a reset.
    const closed = new Promise((resolve) => {
      socket.once('close', resolve);
    });
    socket.write(HEAD);
    for (let sent = 0; sent < MAX_SENT_BYTES && !socket.destroyed; sent += part.length) {
      // eslint-disable-next-line no-await-in-loop -- one part after the other
      await new Promise((resolve) => {
        socket.write(part, resolve);
      });
    }
    await closed;
    // What follows is discarded by a closing connection.
    assert.deepEqual(ended, ['HPE_HEADER_OVERFLOW']);
  });
});
