import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';

import GatewayRig from './support/GatewayRig';

const KB = 1024;

/** Lets the entry read what it will of the bodies that have arrived. */
async function readBodies(): Promise<void> {
  for (let turn = 0; turn < 100; turn += 1) {
    // eslint-disable-next-line no-await-in-loop -- each turn reads what the last one asked for
    await new Promise(setImmediate);
  }
}

/** Creates an entry whose only target has no free slot. */
function createRig(t: TestContext): GatewayRig {
  const rig = new GatewayRig(t, { targetLatencyMs: 4000, timeoutMs: 4000 });
  rig.addTarget('full', { running: 2, slots: 2 });
  return rig;
}

test('an upload that can be read while it waits is sent once a slot is free', async (t) => {
  const rig = createRig(t);
  const res = rig.request({ body: Buffer.alloc(512 * KB) });
  await readBodies();
  rig.run(1000);
  assert.deepEqual([res.status, rig.sender.sent.length], [undefined, 0]);
  rig.targets.forEach((target) => Object.assign(target, { running: 0 }));
  rig.run(400);
  assert.deepEqual([res.status, rig.requestBytes.usedBytes], [200, 0]);
});

// Guards against waits in which the close of a caller cannot be noticed, and reads without bound.
[
  { name: 'an upload beyond what is read of one', bytes: 1536 * KB, reserved: 0 },
  { name: 'an upload beyond what is read of all', bytes: 512 * KB, reserved: 1800 * KB },
].forEach(({ name, bytes, reserved }) => {
  test(`${name} waits for less than half a second`, async (t) => {
    const rig = createRig(t);
    rig.requestBytes.tryReserve(reserved);
    const res = rig.request({ body: Buffer.alloc(bytes) });
    await readBodies();
    rig.run(500);
    assert.deepEqual([res.status, rig.sender.sent.length], [503, 0]);
    assert.equal(rig.requestBytes.usedBytes, reserved);
  });
});

// Guards against targets that get a body without its beginning.
test('an upload in chunks that is refused for its wait is not sent when a slot is free', async (t) => {
  const rig = createRig(t);
  const body = Buffer.alloc(1536 * KB);
  const res = rig.request({ body, headers: { 'transfer-encoding': 'chunked' } });
  await readBodies();
  rig.run(450);
  rig.targets.forEach((target) => Object.assign(target, { running: 0 }));
  rig.run(400);
  await readBodies();
  assert.deepEqual([res.status, rig.sender.sent.length], [503, 0]);
});
