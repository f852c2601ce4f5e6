import assert from 'node:assert/strict';
import { once } from 'node:events';
import {
  connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import { performance } from 'node:perf_hooks';
import { test, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import createConfigurationSnapshot from '@guavayard/core/configuration/createConfigurationSnapshot';
import createDurableState from '@guavayard/core/consensus/createDurableState';

import ConsensusTask from '../src/control/ConsensusTask';
import type VmHub from '../src/session/VmHub';
import type VmSession from '../src/session/VmSession';
import retryUntil from './support/retryUntil';

const REPLICA = 'vm-1#00';
const LEADER = 'vm-2#00';
/** Longer than any election timeout, in milliseconds. */
const STANDSTILL_MS = 1500;

/** Does something, then nothing; timers are due before sockets are read. */
async function standStillFrom(start: () => void): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(() => {
      start();
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STANDSTILL_MS);
      resolve();
    }, 10);
  });
}

async function createConnection(t: TestContext): Promise<{ near: Socket; far: Socket }> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const far = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const [near] = await once(server, 'connection') as [Socket];
  t.after(() => {
    near.destroy();
    far.destroy();
    server.close();
  });
  return { near, far };
}

// Guards against replicas that lose their leader because their process had no processor time.
test('a follower hears what has arrived during a standstill before it misses its leader', async (t) => {
  const { near, far } = await createConnection(t);
  const leaders: (string | undefined)[] = [];
  const task = new ConsensusTask({
    replica: REPLICA,
    durable: createDurableState([REPLICA, LEADER, 'vm-3#00']),
    store: { append: async () => undefined, replace: async () => undefined },
    hub: { send: () => true, sendToControl: () => undefined } as unknown as VmHub,
    listener: {
      onCommit: () => undefined,
      onRestore: () => undefined,
      onLeaderChange: (leader) => leaders.push(leader),
      createSnapshot: createConfigurationSnapshot,
    },
    clock: () => performance.now(),
    random: () => 0.5,
    onFailure: (err) => {
      throw err;
    },
  });
  t.after(() => task.close());
  const deliver = (): void => task.onMessage({} as VmSession, {
    kind: 'consensus',
    from: LEADER,
    to: REPLICA,
    message: {
      kind: 'append', term: 1, previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0, round: 1,
    },
  });
  let heartbeats = 0;
  near.on('data', () => {
    heartbeats += 1;
    deliver();
  });
  deliver();
  task.start();
  await retryUntil(async () => assert.deepEqual(leaders, [LEADER]));
  await standStillFrom(() => far.write('heartbeat'));
  assert.equal(heartbeats, 0);
  await sleep(100);
  assert.equal(heartbeats, 1);
  assert.deepEqual(leaders, [LEADER]);
});
