import assert from 'node:assert/strict';
import { test } from 'node:test';

import { encode } from 'cbor-x';
import fc from 'fast-check';

import VmMessage from '../src/messages/VmMessage';
import decodeFrame from '../src/session/decodeFrame';
import Handshake from '../src/session/Handshake';

const SEED = Number(process.env.DECODER_SEED ?? 20261204);
const RUNS = Number(process.env.DECODER_RUNS ?? 300);

const KINDS = VmMessage.options.flatMap((option) => [...option.shape.kind.values]);
/** Names that reach deep into the schemas. */
const NAMES = [
  'targets', 'entries', 'message', 'term', 'record', 'declaration', 'identity', 'nonce', 'proof',
  '__proto__', 'constructor', 'toString',
];
const anyMessage = fc.tuple(fc.constantFrom(...KINDS, 'hello', 'proof'), fc.object({
  key: fc.constantFrom(...NAMES),
  values: [
    fc.string(), fc.double(), fc.bigInt(), fc.constantFrom(...KINDS, '10.1.2.3:80', 'ä'.repeat(64)),
    fc.constantFrom(null, undefined, true, -1, 2 ** 53, Number.NaN),
  ],
  maxDepth: 5,
})).map(([kind, value]) => ({ ...value, kind }));

test('arbitrary messages between VMs are decoded or refused, never an exception', () => {
  fc.assert(fc.property(anyMessage, (message) => {
    const value = decodeFrame(encode(message));
    VmMessage.safeParse(value);
    Handshake.safeParse(value);
  }), { seed: SEED, numRuns: RUNS });
});

test('arbitrary bytes of a frame throw nothing but the error of the decoder', () => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
    let value: unknown;
    try {
      value = decodeFrame(Buffer.from(bytes));
    } catch (err) {
      assert.ok(err instanceof Error);
      return;
    }
    VmMessage.safeParse(value);
    Handshake.safeParse(value);
  }), { seed: SEED, numRuns: 10 * RUNS });
});
