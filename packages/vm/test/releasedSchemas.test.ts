import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { test } from 'node:test';

import * as z from 'zod';

import ConsensusRecord from '@guavayard/core/consensus/ConsensusRecord';

import VmMessage from '../src/messages/VmMessage';
import Handshake from '../src/session/Handshake';
import protocolVersion from '../src/session/protocolVersion';
import presentSchemas from './support/presentSchemas';

const HASH_DIGITS = 12;

interface KindSchema extends z.core.$ZodType {
  readonly shape: { readonly kind: z.ZodLiteral<string> };
}

/** Hashes what each kind accepts: its fields, their types and their values. */
function hashKinds({ options }: { options: readonly KindSchema[] }): Record<string, string> {
  return Object.fromEntries(options.map((option) => {
    const schema = z.toJSONSchema(option, { unrepresentable: 'any', io: 'input' });
    const hash = createHash('sha256').update(JSON.stringify(schema)).digest('hex');
    return [option.shape.kind.value, hash.slice(0, HASH_DIGITS)];
  }));
}

test('the released schemas are those of the version that this build tells', () => {
  assert.equal(protocolVersion, presentSchemas.protocolVersion);
});

// Guards against a field, kind or value that builds in the same group or after a way back refuse.
[
  { name: 'messages', schema: VmMessage, released: presentSchemas.messages },
  { name: 'records', schema: ConsensusRecord, released: presentSchemas.records },
  { name: 'frames of the handshake', schema: Handshake, released: presentSchemas.handshake },
].forEach(({ name, schema, released }) => {
  test(`the ${name} are those of the released builds of this version`, () => {
    assert.deepEqual(hashKinds(schema), released);
  });
});
