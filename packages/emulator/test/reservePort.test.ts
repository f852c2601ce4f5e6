import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { test } from 'node:test';
import { promisify } from 'node:util';

import reservePort from '../src/reservePort';

const run = promisify(execFile);

function sequence(...values: number[]): () => number {
  return () => values.shift() ?? 0.9;
}

test('a reserved port is not given to anyone else in this process', async () => {
  const first = await reservePort(sequence(0.41));
  assert.notEqual(await reservePort(sequence(0.41, 0.42)), first);
});

test('a reserved port is not given to another process', async () => {
  const port = await reservePort(sequence(0.43));
  const module = require.resolve('../src/reservePort');
  const reserve = `require(${JSON.stringify(module)}).default`;
  const script = `${reserve}((n => () => [0.43, 0.44][n++])(0)).then(console.log)`;
  const { stdout } = await run(process.execPath, ['--import', 'tsx', '-e', script]);
  assert.notEqual(Number(stdout), port);
});

test('a VM may listen on a reserved port', async (t) => {
  const port = await reservePort(sequence(0.45));
  const server = createServer().listen(port, '127.0.0.5');
  t.after(() => server.close());
  await once(server, 'listening');
});
