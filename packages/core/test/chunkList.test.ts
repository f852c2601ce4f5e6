import assert from 'node:assert/strict';
import { test } from 'node:test';

import ChunkList from '../src/utils/ChunkList';

const SIZES = [1, 1, 5000, 1, 1023, 1024, 700, 700, 4000, 3, 1];

// Guards against bodies that change when their chunks are joined.
test('joined chunks have the bytes of all chunks in order', () => {
  const list = new ChunkList();
  const chunks = SIZES.map((size, index) => Buffer.alloc(size, index + 1));
  chunks.forEach((chunk) => list.push(chunk));
  const whole = Buffer.concat(chunks);
  assert.deepEqual(Buffer.concat(list.list()), whole);
  assert.deepEqual(Buffer.concat(list.take()), whole);
  assert.deepEqual(list.take(), []);
});

// Guards against memory of a hundred bytes for each byte of a body.
test('chunks of one byte are joined to blocks', () => {
  const list = new ChunkList();
  for (let index = 0; index < 10_000; index += 1) list.push(Buffer.from([index % 256]));
  assert.equal(list.take().length, 3);
});
