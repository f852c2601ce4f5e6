import assert from 'node:assert/strict';
import { test } from 'node:test';

import { decode } from 'cbor-x';
import fc from 'fast-check';

import encodeFrame from '../src/session/encodeFrame';
import FrameDecoder from '../src/session/FrameDecoder';

const SEED = 20261204;

function splitAt(bytes: Buffer, positions: readonly number[]): Buffer[] {
  const cuts = [...positions.map((position) => position % (bytes.length + 1))]
    .sort((left, right) => left - right);
  return [0, ...cuts].map((start, index) => bytes.subarray(start, cuts[index] ?? bytes.length));
}

test('decodes frames from a stream split at any position', () => {
  const messages = fc.array(fc.record({
    text: fc.oneof(fc.string({ maxLength: 200 }), fc.string({ minLength: 800, maxLength: 3000 })),
    count: fc.nat(),
  }, { noNullPrototype: true }));
  fc.assert(fc.property(messages, fc.array(fc.nat()), (sent, positions) => {
    const decoder = new FrameDecoder();
    const stream = Buffer.concat(sent.map(encodeFrame));
    const received = splitAt(stream, positions)
      .flatMap((chunk) => decoder.push(chunk).unwrap())
      .map((frame) => decode(frame) as unknown);
    assert.deepEqual(received, sent);
  }), { seed: SEED, numRuns: 500 });
});

test('rejects a frame longer than the limit before buffering it', () => {
  // The highest bit marks a compressed frame; the length is the rest.
  [0xff, 0x7f].forEach((first) => {
    const decoder = new FrameDecoder();
    const result = decoder.push(Buffer.from([first, 0xff, 0xff, 0xff, 1, 2, 3]));
    assert.equal(result.val, 'frame of 2147483647 bytes is too long');
  });
});

test('arbitrary bytes result in frames or an error, never an exception', () => {
  fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 64 })), (chunks) => {
    const decoder = new FrameDecoder();
    chunks.every((chunk) => decoder.push(Buffer.from(chunk)).ok);
  }), { seed: SEED, numRuns: 2000 });
});

test('a corrupted compressed frame is an error', () => {
  const frame = encodeFrame({ text: 'a'.repeat(5000) });
  assert.ok(frame.length < 500, 'the frame is not compressed');
  frame.fill(0xff, 6);
  assert.equal(new FrameDecoder().push(frame).err, true);
});
