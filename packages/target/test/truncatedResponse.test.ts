import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';

import UndiciTargetSender from '../src/UndiciTargetSender';

const HEADERS = 'x-first: 1\r\nx-second: 2\r\n';
const RESPONSES = {
  'with a length': `HTTP/1.1 200 OK\r\n${HEADERS}content-length: 12\r\n\r\nhello world!`,
  'with a length, on a connection that closes': `HTTP/1.1 200 OK\r\n${HEADERS}connection: close\r\ncontent-length: 12\r\n\r\nhello world!`,
  'in chunks': `HTTP/1.1 200 OK\r\n${HEADERS}transfer-encoding: chunked\r\n\r\n6\r\nhello \r\n6\r\nworld!\r\n0\r\n\r\n`,
  'after an informational one': `HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\n${HEADERS}connection: close\r\ncontent-length: 12\r\n\r\nhello world!`,
};

interface Outcome {
  readonly end: string;
  readonly hasLength: boolean;
  readonly status: number | undefined;
}

/** Sends one request to a target that sends the bytes and closes. */
async function receive(t: TestContext, bytes: string, isReset: boolean): Promise<Outcome> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.write(bytes, () => {
      if (isReset) socket.resetAndDestroy();
      else socket.end();
    }));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const sender = new UndiciTargetSender();
  t.after(async () => {
    server.close();
    await sender.close();
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return new Promise((resolve) => {
    let status: number | undefined;
    let hasLength = false;
    const finish = (end: string): void => resolve({ end, hasLength, status });
    sender.send({ address, connectionLimit: 1 }, {
      method: 'GET', path: '/', headers: [], body: null,
    }, {
      onConnected: () => undefined,
      onHeaders: (received, headers) => {
        status = received;
        hasLength = headers['content-length'] === '12' || headers['transfer-encoding'] === 'chunked';
      },
      onData: () => true,
      onEnd: () => finish('complete'),
      onFailure: ({ kind }) => finish(kind),
    });
  });
}

Object.entries(RESPONSES).forEach(([name, response]) => {
  [false, true].forEach((isReset) => {
    test(`a response ${name} that a ${isReset ? 'reset' : 'close'} cuts short anywhere is no complete one`, async (t) => {
      const lengths = Array.from({ length: response.length }, (_, length) => length);
      const outcomes = await Promise.all(lengths.map(async (length) => (
        receive(t, response.slice(0, length), isReset))));
      outcomes.forEach(({ end, hasLength, status }, length) => {
        assert.equal(end, 'targetFailed', `${length} bytes: ${end}`);
        // Headers are reported only once all of them have arrived.
        assert.ok(status === undefined || hasLength, `${length} bytes`);
      });
      assert.equal((await receive(t, response, false)).end, 'complete');
    });
  });
});

['000', '099', '600', '999'].forEach((status) => {
  test(`a response with status ${status} is no response`, async (t) => {
    const outcome = await receive(t, `HTTP/1.1 ${status} Trouble\r\n${HEADERS}content-length: 12\r\n\r\nhello world!`, false);
    assert.deepEqual(outcome, { end: 'targetFailed', hasLength: false, status: undefined });
  });
});
