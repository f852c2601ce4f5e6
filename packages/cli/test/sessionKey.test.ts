import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';

import openTransport from '../src/gateway/openTransport';
import readSessionKey from '../src/gateway/readSessionKey';
import type GatewaySettings from '../src/settings/GatewaySettings';

function createSettings(vm: Partial<GatewaySettings['vm']>): GatewaySettings {
  return { vm } as GatewaySettings;
}

test('the session key comes from a file, else from the environment, else it is public', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'guavayard-key-'));
  t.after(() => rmSync(folder, { recursive: true }));
  const keyFile = join(folder, 'key');
  writeFileSync(keyFile, 'a key from the file\n');
  const env = { GUAVAYARD_SESSION_KEY: 'a key from the environment' };
  const results = await Promise.all([
    readSessionKey(createSettings({ keyFile }), env),
    readSessionKey(createSettings({}), env),
    readSessionKey(createSettings({}), {}),
  ]);
  assert.deepEqual(results.map((result) => result.unwrap().isPublic), [false, false, true]);
  assert.deepEqual(results.slice(0, 2).map((result) => result.unwrap().key), [
    'a key from the file', 'a key from the environment',
  ]);
});

test('a session key that is missing or short, and files that cannot be read, are errors', async () => {
  const missing = { certificateFile: '/none/a', keyFile: '/none/b', authorityFile: '/none/c' };
  const results = await Promise.all([
    readSessionKey(createSettings({ keyFile: '/none/key' }), {}),
    readSessionKey(createSettings({}), { GUAVAYARD_SESSION_KEY: 'short' }),
    openTransport(createSettings({ tls: missing })),
  ]);
  assert.deepEqual(results.map(({ val }) => String(val).slice(0, 60)), [
    'vm.keyFile: /none/key cannot be read: ENOENT',
    'GUAVAYARD_SESSION_KEY: expected at least 16 characters, foun',
    'vm.tls: ENOENT: no such file or directory, open \'/none/a\'',
  ]);
});
