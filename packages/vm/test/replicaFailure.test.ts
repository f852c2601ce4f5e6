import assert from 'node:assert/strict';
import { performance } from 'node:perf_hooks';
import { test } from 'node:test';

import createDurableState from '@guavayard/core/consensus/createDurableState';
import createConfigurationSnapshot from '@guavayard/core/configuration/createConfigurationSnapshot';

import ConsensusTask from '../src/control/ConsensusTask';
import type ConsensusTaskOptions from '../src/control/ConsensusTaskOptions';
import type VmHub from '../src/session/VmHub';
import type VmSession from '../src/session/VmSession';
import retryUntil from './support/retryUntil';

const REPLICA = 'vm-1#00';

async function waitForFailure(options: Partial<ConsensusTaskOptions>): Promise<Error> {
  let nowMs = 0;
  return new Promise((resolve) => {
    const task = new ConsensusTask({
      replica: REPLICA,
      durable: createDurableState([REPLICA]),
      store: { append: async () => undefined, replace: async () => undefined },
      hub: { send: () => false, sendToControl: () => undefined } as unknown as VmHub,
      listener: {
        onCommit: () => undefined,
        onRestore: () => undefined,
        onLeaderChange: () => undefined,
        createSnapshot: createConfigurationSnapshot,
      },
      // Each reading is an election timeout later, so that the only voter leads soon.
      clock: () => {
        nowMs += 1000;
        return nowMs;
      },
      random: () => 0.5,
      onFailure: (err) => {
        task.close();
        resolve(err);
      },
      ...options,
    });
    task.start();
  });
}

// Guards against processes that end because a disk refuses writes.
test('a replica whose writes fail does nothing until its whole log is written anew', async (t) => {
  const calls: string[] = [];
  const refuse = async (name: string, isRefused: boolean): Promise<void> => {
    calls.push(name);
    if (isRefused) throw new Error('no space left');
  };
  let replacedTerm = 0;
  const task = new ConsensusTask({
    replica: REPLICA,
    durable: createDurableState([REPLICA]),
    store: {
      append: async () => refuse('append', calls.length === 0),
      replace: async (records) => {
        replacedTerm = records.find((record) => record.kind === 'vote')?.term ?? 0;
        await refuse('replace', calls.length < 3);
      },
    },
    hub: { send: () => false, sendToControl: () => undefined } as unknown as VmHub,
    listener: {
      onCommit: () => calls.push('commit'),
      onRestore: () => undefined,
      onLeaderChange: (leader) => calls.push(leader === undefined ? 'no leader' : 'leader'),
      createSnapshot: createConfigurationSnapshot,
    },
    clock: () => performance.now(),
    random: () => 0.5,
    onWriteFailure: ({ message }) => calls.push(message),
    onWriteRecovery: () => calls.push('recovery'),
    onFailure: (err) => {
      throw err;
    },
  });
  t.after(() => task.close());
  task.start();
  await retryUntil(async () => assert.equal(calls.includes('leader'), true));
  assert.deepEqual(calls.slice(0, 5), ['append', 'no space left', 'replace', 'replace', 'recovery']);
  assert.equal(replacedTerm, 1);
  assert.equal(task.pendingWriteMs, 0);
  assert.equal(await task.propose({ kind: 'noop' }), true);
});

// Guards against memory that grows, and calls that wait, for as long as a disk hangs.
test('a replica whose write hangs keeps no messages and refuses calls', async (t) => {
  let finishWrite = (): void => undefined;
  const written = new Promise<void>((resolve) => {
    finishWrite = resolve;
  });
  let sent = 0;
  let nowMs = 0;
  const peer = 'vm-2#00';
  const task = new ConsensusTask({
    replica: REPLICA,
    durable: createDurableState([REPLICA, peer]),
    store: { append: async () => written, replace: async () => undefined },
    hub: {
      send: () => {
        sent += 1;
        return true;
      },
      sendToControl: () => undefined,
    } as unknown as VmHub,
    listener: {
      onCommit: () => undefined,
      onRestore: () => undefined,
      onLeaderChange: () => undefined,
      createSnapshot: createConfigurationSnapshot,
    },
    clock: () => nowMs,
    random: () => 0.5,
    onFailure: (err) => {
      throw err;
    },
  });
  t.after(() => task.close());
  const deliver = (): void => task.onMessage({} as VmSession, {
    kind: 'consensus',
    from: peer,
    to: REPLICA,
    message: {
      kind: 'append', term: 1, previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0, round: 1,
    },
  });
  deliver();
  nowMs = 5000;
  for (let count = 0; count < 1000; count += 1) deliver();
  assert.equal(await task.propose({ kind: 'noop' }), false);
  assert.equal(await task.awaitReadPoint(), false);
  assert.equal(task.pendingWriteMs, 5000);
  finishWrite();
  await retryUntil(async () => assert.equal(task.pendingWriteMs, 0));
  deliver();
  await retryUntil(async () => assert.equal(sent >= 2, true));
  assert.equal(sent < 10, true);
});

test('a replica that fails to apply an entry stops, as its state may differ from its log', async () => {
  const err = await waitForFailure({
    listener: {
      onCommit: () => {
        throw new Error('cannot apply');
      },
      onRestore: () => undefined,
      onLeaderChange: () => undefined,
      createSnapshot: createConfigurationSnapshot,
    },
  });
  assert.equal(err.message, 'cannot apply');
});

// Guards against a restarted VM that passes its snapshot on as the present state.
test('a leader whose first write is not synced has not caught up', async (t) => {
  let finishWrite = (): void => undefined;
  const written = new Promise<void>((resolve) => {
    finishWrite = resolve;
  });
  const task = new ConsensusTask({
    replica: REPLICA,
    durable: createDurableState([REPLICA]),
    store: { append: async () => written, replace: async () => undefined },
    hub: { send: () => false, sendToControl: () => undefined } as unknown as VmHub,
    listener: {
      onCommit: () => undefined,
      onRestore: () => undefined,
      onLeaderChange: () => undefined,
      createSnapshot: createConfigurationSnapshot,
    },
    clock: () => performance.now(),
    random: () => 0.5,
    onFailure: (err) => {
      throw err;
    },
  });
  t.after(() => task.close());
  task.start();
  await retryUntil(async () => assert.equal(task.isLeader, true));
  assert.equal(task.hasCommittedInTerm, false);
  assert.equal(task.hasCaughtUp, false);
  finishWrite();
  await retryUntil(async () => assert.equal(task.hasCaughtUp, true));
  assert.equal(task.hasCommittedInTerm, true);
});

test('a command that no replica could read back is refused before it is written', async () => {
  let written = 0;
  let reason: Error | undefined;
  const task = new ConsensusTask({
    replica: REPLICA,
    durable: createDurableState([REPLICA]),
    store: {
      append: async (records) => {
        written += records.filter((record) => record.kind === 'append' && record.entries.some(({ command }) => command.kind === 'registry')).length;
      },
      replace: async () => undefined,
    },
    hub: { send: () => false, sendToControl: () => undefined } as unknown as VmHub,
    listener: {
      onCommit: () => undefined,
      onRestore: () => undefined,
      onLeaderChange: () => undefined,
      createSnapshot: createConfigurationSnapshot,
    },
    clock: () => performance.now(),
    random: () => 0.5,
    onMalformedCommand: (err) => {
      reason = err;
    },
    onFailure: (err) => {
      throw err;
    },
  });
  task.start();
  await retryUntil(async () => assert.equal(task.isLeader, true));
  const change = {
    kind: 'expire' as const, targetId: 'i-1', bornAtMs: Infinity, sequence: 1,
  };
  assert.equal(await task.propose({ kind: 'registry', change }), false);
  assert.equal(await task.propose({ kind: 'registry', change: { ...change, bornAtMs: 1 } }), true);
  task.close();
  assert.equal(written, 1);
  assert.notEqual(reason, undefined);
});

// Guards against damage of a synced record that is taken for a write that was not completed.
test('a log is marked as synced once there is nothing to write, and once only', async (t) => {
  const calls: string[] = [];
  let nowMs = 0;
  const task = new ConsensusTask({
    replica: REPLICA,
    durable: createDurableState([REPLICA]),
    store: {
      append: async () => {
        calls.push('append');
      },
      replace: async () => undefined,
      markSynced: async () => {
        calls.push('mark');
      },
    },
    hub: { send: () => false, sendToControl: () => undefined } as unknown as VmHub,
    listener: {
      onCommit: () => undefined,
      onRestore: () => undefined,
      onLeaderChange: () => undefined,
      createSnapshot: createConfigurationSnapshot,
    },
    clock: () => {
      nowMs += 100;
      return nowMs;
    },
    random: () => 0.5,
    onFailure: (err) => {
      throw err;
    },
  });
  t.after(() => task.close());
  task.start();
  await retryUntil(async () => assert.equal(calls.at(-1), 'mark'));
  const settledAtMs = nowMs;
  await retryUntil(async () => assert.equal(nowMs > settledAtMs + 10_000, true));
  assert.equal(calls.filter((call) => call === 'mark').length, 1);
  assert.equal(await task.propose({ kind: 'noop' }), true);
  await retryUntil(async () => assert.equal(calls.filter((call) => call === 'mark').length, 2));
});
