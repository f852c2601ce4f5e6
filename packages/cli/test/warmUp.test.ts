import assert from 'node:assert/strict';
import { test } from 'node:test';

import warmUpRequestPath from '../src/gateway/warmUpRequestPath';

// A warm-up that fails is only logged, so nothing else would show that it no longer runs. What it
// left open would keep this process from ending.
test('the warm-up of an entry is answered by its own target', async () => {
  assert.deepEqual(await warmUpRequestPath('127.0.0.1'), [200, 200, 200]);
});
