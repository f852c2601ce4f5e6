import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import test from 'node:test';

import type Failure from '@guavayard/core/errors/Failure';

import UndiciTargetSender from '@guavayard/target/UndiciTargetSender';
import RawTarget from './support/RawTarget';

interface SendOutcome {
  readonly body: string;
  /** Undefined if the response ended by its length, its last chunk or an orderly close. */
  readonly failure: Failure | undefined;
}

/**
 * Sends one request to a target with a scripted response and waits until the exchange ends.
 *
 * @param script - what the target does with the request
 * @param onBody - what the target does once the first part of the body has been read
 * @returns the body and the failure that the receiver of the response got
 */
async function sendOnce(
  script: (socket: Socket) => void,
  onBody: (socket: Socket) => void = () => undefined,
): Promise<SendOutcome> {
  let connection: Socket | undefined;
  const target = new RawTarget((socket) => {
    connection = socket;
    script(socket);
  });
  const address = await target.listen();
  const sender = new UndiciTargetSender();
  const outcome = await new Promise<SendOutcome>((resolve) => {
    let body = '';
    sender.send({ address, connectionLimit: 1 }, {
      method: 'GET', path: '/lots', headers: ['host', 'lots.example'], body: null,
    }, {
      onConnected: () => undefined,
      onHeaders: () => undefined,
      onData: (chunk) => {
        if (body === '' && connection !== undefined) setImmediate(onBody, connection);
        body += chunk.toString();
        return true;
      },
      onEnd: () => resolve({ body, failure: undefined }),
      onFailure: (failure) => resolve({ body, failure }),
    });
  });
  await sender.close();
  await target.close();
  return outcome;
}

const faults = [
  { name: 'no content length', head: 'HTTP/1.1 200 OK\r\n\r\nhalf of it' },
  { name: 'a content length', head: 'HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nhalf of it' },
  { name: 'chunks', head: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\na\r\nhalf of it\r\n' },
];

faults.forEach(({ name, head }) => {
  test(`a reset during a response with ${name} is a failure`, async () => {
    // Resets only after the data has been read: the runtime reports a reset that arrives together
    // with data as an orderly end.
    const { failure } = await sendOnce(
      (socket) => socket.write(head),
      (socket) => socket.resetAndDestroy(),
    );
    assert.equal(failure?.kind, 'targetFailed');
  });
});

test('a response that ends before its content length is a failure', async () => {
  const { failure } = await sendOnce((socket) => {
    socket.end('HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nhalf of it');
  });
  assert.equal(failure?.kind, 'targetFailed');
});

test('a response without a content length ends with an orderly close', async () => {
  const { body, failure } = await sendOnce((socket) => {
    socket.end('HTTP/1.1 200 OK\r\n\r\nall of it');
  });
  assert.deepEqual({ body, failure }, { body: 'all of it', failure: undefined });
});

test('a request that is aborted before it has a connection ends at once', async () => {
  const sender = new UndiciTargetSender();
  const failure = await new Promise<Failure>((resolve) => {
    const dispatch = sender.send({ address: '127.0.0.1:9', connectionLimit: 1 }, {
      method: 'GET', path: '/lots', headers: ['host', 'lots.example'], body: null,
    }, {
      onConnected: () => undefined,
      onHeaders: () => undefined,
      onData: () => true,
      onEnd: () => assert.fail('unexpected response'),
      onFailure: resolve,
    });
    dispatch.abort({ kind: 'callerGone', detail: '' });
  });
  assert.equal(failure.kind, 'callerGone');
  await sender.close();
});

test('a request sent at the end of a response reuses its connection', async () => {
  const target = new RawTarget((socket) => {
    socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
  });
  const address = await target.listen();
  const sender = new UndiciTargetSender();
  await new Promise<void>((resolve, reject) => {
    const send = (remaining: number): void => {
      sender.send({ address, connectionLimit: 4 }, {
        method: 'GET', path: '/lots', headers: ['host', 'lots.example'], body: null,
      }, {
        onConnected: () => undefined,
        onHeaders: () => undefined,
        onData: () => true,
        onEnd: () => (remaining === 0 ? resolve() : send(remaining - 1)),
        onFailure: ({ detail }) => reject(new Error(detail)),
      });
    };
    send(10);
  });
  assert.equal(target.acceptedConnections, 1);
  await sender.close();
  await target.close();
});
