import assert from 'node:assert/strict';
import { once } from 'node:events';
import {
  createServer, request, type ClientRequest, type IncomingMessage,
} from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Readable } from 'node:stream';
import { test, type TestContext } from 'node:test';

import ReplayableBody from '../src/ReplayableBody';

const CHUNK_BYTES = 30 * 1024;

interface Upload {
  readonly req: IncomingMessage;
  readonly client: ClientRequest;
}

async function startUpload(t: TestContext): Promise<Upload> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const client = request({ port, method: 'POST', headers: { 'content-length': 4 * CHUNK_BYTES } });
  client.on('error', () => undefined);
  t.after(() => {
    client.destroy();
    server.close();
    server.closeAllConnections();
  });
  client.write(Buffer.alloc(CHUNK_BYTES, 'a'));
  const [req] = await once(server, 'request') as [IncomingMessage];
  return { req, client };
}

async function readAll(stream: Readable): Promise<string> {
  const chunks: Buffer[] = [];
  stream.on('data', (chunk: Buffer) => chunks.push(chunk));
  await once(stream, 'end');
  return Buffer.concat(chunks).toString();
}

test('a body that keeps arriving between two attempts reaches the second one in full', async (t) => {
  const { req, client } = await startUpload(t);
  const body = new ReplayableBody(req, true);
  const first = body.open() as Readable;
  first.resume();
  await once(first, 'data');
  // The first attempt ends early, and the second one starts only once a target is free.
  assert.equal(body.isReplayable, true);
  body.close();
  'bcd'.split('').forEach((letter) => client.write(Buffer.alloc(CHUNK_BYTES, letter)));
  client.end();
  await new Promise(setImmediate);
  await new Promise(setImmediate);
  const sent = await readAll(body.open() as Readable);
  assert.equal(sent, 'abcd'.split('').map((letter) => letter.repeat(CHUNK_BYTES)).join(''));
});
