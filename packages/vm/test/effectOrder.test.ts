import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setImmediate } from 'node:timers/promises';

import createConfigurationSnapshot from '@guavayard/core/configuration/createConfigurationSnapshot';
import createDurableState from '@guavayard/core/consensus/createDurableState';

import ConsensusTask from '../src/control/ConsensusTask';
import type VmHub from '../src/session/VmHub';
import type VmSession from '../src/session/VmSession';
import retryUntil from './support/retryUntil';

const REPLICA = 'vm-1#00';
const LEADER = 'vm-2#00';
const VOTERS = [REPLICA, LEADER, 'vm-3#00'];

interface SlowReplica {
  readonly task: ConsensusTask;
  readonly applied: number[];
  readonly awaitWrite: () => Promise<void>;
  readonly finishWrite: () => void;
  readonly append: (index: number, commitIndex: number) => void;
}

/** Creates a replica whose writes end when the test says so. */
function createSlowReplica(voters: readonly string[]): SlowReplica {
  const applied: number[] = [];
  const writes: (() => void)[] = [];
  const write = async (): Promise<void> => new Promise((resolve) => {
    writes.push(resolve);
  });
  const task = new ConsensusTask({
    replica: REPLICA,
    durable: createDurableState(voters),
    store: { append: write, replace: write },
    hub: { send: () => true, sendToControl: () => undefined } as unknown as VmHub,
    listener: {
      onCommit: (entries) => applied.push(...entries.map(({ index }) => index)),
      onRestore: () => undefined,
      onLeaderChange: () => undefined,
      createSnapshot: createConfigurationSnapshot,
    },
    clock: () => 0,
    random: () => 0.5,
    onFailure: (err) => {
      throw err;
    },
  });
  return {
    task,
    applied,
    awaitWrite: async () => retryUntil(async () => assert.equal(writes.length, 1)),
    finishWrite: () => writes.shift()?.(),
    append: (index, commitIndex) => task.onMessage({} as VmSession, {
      kind: 'consensus',
      from: LEADER,
      to: REPLICA,
      message: {
        kind: 'append',
        term: 1,
        previousIndex: index - 1,
        previousTerm: index === 1 ? 0 : 1,
        entries: [{ index, term: 1, command: { kind: 'noop' } }],
        commitIndex,
        round: index,
      },
    }),
  };
}

// Guards against a replica that applies what it hears during a write before what waits for it.
test('a replica applies entries in order while its writes are slow', async (t) => {
  const {
    task, applied, awaitWrite, finishWrite, append,
  } = createSlowReplica(VOTERS);
  t.after(() => task.close());
  append(1, 0);
  append(2, 1);
  finishWrite();
  await awaitWrite();
  append(3, 2);
  finishWrite();
  await awaitWrite();
  finishWrite();
  await retryUntil(async () => assert.equal(applied.length, 2));
  assert.deepEqual(applied, [1, 2]);
});

// Guards against a read of a state that lacks committed entries.
test('a read waits until what is committed is applied while writes are slow', async (t) => {
  const {
    task, applied, awaitWrite, finishWrite,
  } = createSlowReplica([REPLICA]);
  t.after(() => task.close());
  task.start();
  const isAccepted = task.propose({ kind: 'noop' });
  finishWrite();
  await awaitWrite();
  const read = task.awaitReadPoint().then((isReady) => ({ isReady, firstApplied: applied[0] }));
  await setImmediate();
  finishWrite();
  assert.deepEqual(await read, { isReady: true, firstApplied: 1 });
  assert.equal(await isAccepted, true);
});

// Guards against entries that follow a control VM which calls itself current, but is not.
test('a follower applies what is committed while it syncs a new term', (t) => {
  const { task, applied, append } = createSlowReplica(VOTERS);
  t.after(() => task.close());
  append(1, 0);
  append(2, 1);
  assert.equal(task.timeSinceLeaderContactMs, 0);
  assert.deepEqual(applied, [1]);
});
