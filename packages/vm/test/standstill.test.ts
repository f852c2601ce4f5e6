import assert from 'node:assert/strict';
import { once } from 'node:events';
import {
  connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import { performance } from 'node:perf_hooks';
import { test, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import createConfigurationSnapshot from '@guavayard/core/configuration/createConfigurationSnapshot';
import type ConsensusMessage from '@guavayard/core/consensus/ConsensusMessage';
import createDurableState from '@guavayard/core/consensus/createDurableState';

import ConsensusTask from '../src/control/ConsensusTask';
import type SessionHandler from '../src/session/SessionHandler';
import type VmHub from '../src/session/VmHub';
import type VmIdentity from '../src/session/VmIdentity';
import VmListener from '../src/session/VmListener';
import VmSession from '../src/session/VmSession';
import retryUntil from './support/retryUntil';

const REPLICA = 'vm-1#00';
const LEADER = 'vm-2#00';
/** Longer than any election timeout, in milliseconds. */
const STANDSTILL_MS = 1500;
const HEARTBEAT: ConsensusMessage = {
  kind: 'append', term: 1, previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0, round: 1,
};
const SESSION_TIMEOUT_MS = 1200;
const KEY = 'the same key';
const IDENTITY: VmIdentity = {
  name: 'vm-1',
  region: 'munster',
  dataCentre: 'munster-1',
  startId: 'start',
  roles: ['control'],
  address: '127.0.0.1:1',
};

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

interface Replica {
  readonly task: ConsensusTask;
  readonly leaders: (string | undefined)[];
  readonly deliver: (message: ConsensusMessage) => void;
}

function createReplica(t: TestContext): Replica {
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
  return {
    task,
    leaders,
    deliver: (message) => task.onMessage({} as VmSession, {
      kind: 'consensus', from: LEADER, to: REPLICA, message,
    }),
  };
}

// Guards against replicas that lose their leader because their process had no processor time.
test('a follower hears what has arrived during a standstill before it misses its leader', async (t) => {
  const { near, far } = await createConnection(t);
  const { task, leaders, deliver } = createReplica(t);
  let heartbeats = 0;
  near.on('data', () => {
    heartbeats += 1;
    deliver(HEARTBEAT);
  });
  deliver(HEARTBEAT);
  task.start();
  await retryUntil(async () => assert.deepEqual(leaders, [LEADER]));
  await standStillFrom(() => far.write('heartbeat'));
  assert.equal(heartbeats, 0);
  await sleep(100);
  assert.equal(heartbeats, 1);
  assert.deepEqual(leaders, [LEADER]);
});

// Guards against a former leader that calls itself current to those whose calls have waited.
test('a leader that stood still does not lead any more when it reads what has arrived', async (t) => {
  const { near, far } = await createConnection(t);
  const { task, deliver } = createReplica(t);
  task.start();
  await retryUntil(async () => {
    deliver({ kind: 'preVoteAnswer', term: 1, isGranted: true });
    deliver({ kind: 'voteAnswer', term: 1, isGranted: true });
    assert.equal(task.isLeader, true);
  });
  const wasLeader: boolean[] = [];
  near.on('data', () => wasLeader.push(task.isLeader));
  await standStillFrom(() => far.write('call'));
  await sleep(100);
  assert.deepEqual(wasLeader, [false]);
});

// Guards against sessions that all end because the process had no processor time.
test('a session stays open if its peer was heard during a standstill', async (t) => {
  const handler: SessionHandler = { onOpen() {}, onMessage() {}, onClose() {} };
  const peers: VmSession[] = [];
  const listener = new VmListener(KEY, IDENTITY, {
    ...handler, onOpen: (session) => peers.push(session),
  });
  t.after(() => listener.close());
  listener.netServer.listen(0, '127.0.0.1');
  await once(listener.netServer, 'listening');
  const socket = connect((listener.netServer.address() as AddressInfo).port, '127.0.0.1');
  const reasons: string[] = [];
  const session = new VmSession(socket, 'client', KEY, IDENTITY, {
    ...handler, onClose: (_session, reason) => reasons.push(reason),
  }, { timing: { heartbeatMs: 50, timeoutMs: SESSION_TIMEOUT_MS } });
  t.after(() => session.close('test over'));
  await retryUntil(async () => assert.equal(peers.length, 1));
  await sleep(100);
  await standStillFrom(() => peers[0]?.send({ kind: 'leaseRelease' }));
  await sleep(100);
  assert.deepEqual(reasons, []);
});
