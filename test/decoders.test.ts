import assert from 'node:assert/strict';
import { test } from 'node:test';

import { encode } from 'cbor-x';
import fc from 'fast-check';

import findDeclarationMistakes from '@guavayard/core/registry/findDeclarationMistakes';
import decodeAnnouncement from '@guavayard/platform/decodeAnnouncement';
import decodeDeclaration from '@guavayard/platform/decodeDeclaration';
import parseLoad from '@guavayard/platform/parseLoad';
import PlatformDialect from '@guavayard/platform/PlatformDialect';
import VmMessage from '@guavayard/vm/messages/VmMessage';
import decodeFrame from '@guavayard/vm/session/decodeFrame';
import Handshake from '@guavayard/vm/session/Handshake';

const SEED = Number(process.env.DECODER_SEED ?? 20261204);
const RUNS = Number(process.env.DECODER_RUNS ?? 300);

const KINDS = VmMessage.options.flatMap((option) => [...option.shape.kind.values]);
/** Names and values that reach deep into the decoders. */
const NAMES = [
  'kind', 'version', 'routes', 'services', 'limits', 'host', 'targets', 'entries', 'message', 'term',
  'record', 'declaration', 'service', 'address', 'zone', 'state', '__proto__', 'constructor', 'toString',
];

const anyValue = fc.letrec((tie) => ({
  value: fc.oneof(
    { maxDepth: 5 },
    fc.string(),
    fc.constantFrom(...KINDS, '10.1.2.3:80', '00000001', 'ready', '{{', '\u0000', 'ä'.repeat(64)),
    fc.double(),
    fc.bigInt(),
    fc.constantFrom(null, undefined, true, -1, 2 ** 53, Number.NaN),
    fc.array(tie('value'), { maxLength: 4 }),
    fc.dictionary(fc.constantFrom(...NAMES), tie('value'), { maxKeys: 6 }),
  ),
})).value;

const anyMessage = fc.tuple(fc.constantFrom(...KINDS, 'hello', 'proof'), anyValue)
  .map(([kind, value]) => ({ ...(value as object | null | undefined), kind }));

const anyText = fc.oneof(fc.string(), fc.json(), anyValue.map((value) => {
  const text = JSON.stringify(value, (_, part: unknown) => (typeof part === 'bigint' ? `${part}` : part)) as string | undefined;
  return text ?? '';
}));

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

test('arbitrary calls of operators and targets are decoded or refused, never an exception', () => {
  fc.assert(fc.property(anyText, (text) => {
    decodeAnnouncement('i-1', text);
    const declaration = decodeDeclaration(text);
    if (declaration.ok) findDeclarationMistakes(declaration.val);
  }), { seed: SEED, numRuns: RUNS });
});

test('arbitrary headers of targets are read or passed over, never an exception', () => {
  const dialect = new PlatformDialect();
  fc.assert(fc.property(fc.string(), fc.string(), (name, value) => {
    parseLoad(value);
    const headers = {
      [name]: value, 'x-instance-load': value, 'x-request-id': value, 'x-warmup-left-ms': value,
    };
    dialect.readResponse(headers);
    dialect.readProbe(headers);
  }), { seed: SEED, numRuns: RUNS });
});
