import assert from 'node:assert/strict';
import { test } from 'node:test';

import { decode } from 'cbor-x';
import fc from 'fast-check';
import { Ok, type Result } from 'ts-results';

import ByteBudget from '@guavayard/core/limits/ByteBudget';

import decodeFrame from '../src/session/decodeFrame';
import encodeFrame from '../src/session/encodeFrame';
import FrameDecoder from '../src/session/FrameDecoder';

const SEED = 20261204;
const MAX_FRAME_BYTES = 1024 * 1024;
const BUDGET_BYTES = 2 * MAX_FRAME_BYTES;

function createDecoder(budget = new ByteBudget(BUDGET_BYTES)): FrameDecoder {
  const decoder = new FrameDecoder(MAX_FRAME_BYTES, budget);
  decoder.acceptMessages(MAX_FRAME_BYTES);
  return decoder;
}

/** Adds a chunk and returns the frames that are now complete, or the error. */
function push(decoder: FrameDecoder, chunk: Buffer): Result<Buffer[], string> {
  const added = decoder.push(chunk);
  if (added.err) return added;
  const frames: Buffer[] = [];
  for (;;) {
    const frame = decoder.next();
    if (frame.err) return frame;
    if (frame.val === undefined) return Ok(frames);
    frames.push(frame.val);
  }
}

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
    const decoder = createDecoder();
    const stream = Buffer.concat(sent.map(encodeFrame));
    const received = splitAt(stream, positions)
      .flatMap((chunk) => push(decoder, chunk).unwrap())
      .map((frame) => decode(frame) as unknown);
    assert.deepEqual(received, sent);
  }), { seed: SEED, numRuns: 500 });
});

test('rejects a frame longer than the limit before buffering it', () => {
  // The highest bit marks a compressed frame; the length is the rest.
  [0xff, 0x7f].forEach((first) => {
    const decoder = createDecoder();
    const result = push(decoder, Buffer.from([first, 0xff, 0xff, 0xff, 1, 2, 3]));
    assert.equal(result.val, 'frame of 2147483647 bytes is too long');
  });
});

test('arbitrary bytes result in frames or an error, never an exception', () => {
  fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 64 })), (chunks) => {
    const decoder = createDecoder();
    chunks.every((chunk) => push(decoder, Buffer.from(chunk)).ok);
  }), { seed: SEED, numRuns: 2000 });
});

test('a corrupted compressed frame is an error', () => {
  const frame = encodeFrame({ text: 'a'.repeat(5000) });
  assert.ok(frame.length < 500, 'the frame is not compressed');
  frame.fill(0xff, 6);
  assert.equal(push(createDecoder(), frame).err, true);
});

test('before the handshake, a frame is short and not compressed', () => {
  const cases: [Buffer, string][] = [
    [Buffer.from([0, 0, 4, 1]), 'frame of 1025 bytes is too long'],
    [Buffer.from([0x80, 0, 0, 1]), 'compressed frame before the handshake'],
  ];
  cases.forEach(([header, message]) => {
    const decoder = new FrameDecoder(1024, new ByteBudget(BUDGET_BYTES));
    assert.equal(push(decoder, header).val, message);
  });
});

test('a frame that inflates beyond the limit is an error', () => {
  const frame = encodeFrame({ text: 'a'.repeat(MAX_FRAME_BYTES + 1) });
  assert.ok(frame.length < 10_000);
  assert.equal(push(createDecoder(), frame).err, true);
});

test('all decoders together buffer no more than their budget', () => {
  const budget = new ByteBudget(BUDGET_BYTES);
  const header = Buffer.from([0, 0x0f, 0xff, 0xff]);
  const results = Array.from({ length: 4 }, () => (
    push(createDecoder(budget), Buffer.concat([header, Buffer.alloc(MAX_FRAME_BYTES - 100)]))
  ));
  assert.deepEqual(results.map(({ ok }) => ok), [true, true, false, false]);
  assert.ok(budget.usedBytes <= BUDGET_BYTES);
});

test('extracted frames and closed decoders return their bytes to the budget', () => {
  const budget = new ByteBudget(BUDGET_BYTES);
  const decoder = createDecoder(budget);
  push(decoder, Buffer.concat([encodeFrame({ a: 1 }), Buffer.from([0, 0])])).unwrap();
  assert.equal(budget.usedBytes, 2);
  decoder.close();
  assert.equal(budget.usedBytes, 0);
});

test('nested arrays that claim a large size are refused before they are allocated', () => {
  // Each level claims 2^24 elements, which would take 128 MB.
  const bomb = Buffer.concat(Array.from({ length: 200 }, () => Buffer.from([0x9a, 1, 0, 0, 0])));
  const before = process.memoryUsage.rss();
  assert.throws(() => decodeFrame(bomb));
  assert.ok(process.memoryUsage.rss() - before < 64 * 1024 * 1024);
});
