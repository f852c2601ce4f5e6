import assert from 'node:assert/strict';
import { randomBytes } from 'node:crypto';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo } from 'node:net';
import { performance } from 'node:perf_hooks';
import { test } from 'node:test';

import createDurableState from '@guavayard/core/consensus/createDurableState';
import timing from '@guavayard/core/consensus/timing';

import GroupWatch from '../src/control/GroupWatch';
import type VmMessage from '../src/messages/VmMessage';
import VmHub from '../src/session/VmHub';
import createPeer from './support/createPeer';

const KEY = 'the key of all VMs';
const SNAPSHOT_BYTES = 1_000_000;
/** Bytes that the slow link carries in each interval: 200 KB a second. */
const CHUNK_BYTES = 10_000;
const CHUNK_INTERVAL_MS = 50;
/** Four times as long as the slow link needs for one snapshot, in milliseconds. */
const LIMIT_MS = 20_000;

async function listen(server: ReturnType<typeof createServer>): Promise<string> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Passes connections on to a VM, slowly in the direction of that VM. */
function createSlowLink(target: string): ReturnType<typeof createServer> {
  return createServer((from) => {
    const to = connect({ host: '127.0.0.1', port: Number(target.split(':')[1]) });
    const timer = setInterval(() => {
      const chunk = from.read(Math.min(CHUNK_BYTES, from.readableLength)) as Buffer | null;
      if (chunk !== null) to.write(chunk);
      else from.read(0);
    }, CHUNK_INTERVAL_MS);
    to.pipe(from);
    const end = (): void => {
      clearInterval(timer);
      from.destroy();
      to.destroy();
    };
    [from, to].forEach((socket) => socket.on('error', end).on('close', end));
  });
}

// Guards against a member on a slow link that never catches up, as its sessions are closed before.
test('a snapshot that a slow link carries for seconds arrives while the leader watches', async (t) => {
  const [leader, member] = [new VmHub(KEY, createPeer('a', ['control'])), new VmHub(KEY, createPeer('b', ['control']))];
  const memberAddress = await listen(member.netServer);
  const link = createSlowLink(memberAddress);
  const address = await listen(link);
  t.after(() => {
    leader.close();
    member.close();
    link.close();
  });
  const { snapshot } = createDurableState(['a#0']);
  const message: VmMessage = {
    kind: 'consensus',
    from: 'a#0',
    to: 'b#1',
    message: {
      kind: 'snapshot',
      term: 1,
      round: 1,
      snapshot: { ...snapshot, data: { ...snapshot.data, idDigests: randomBytes(SNAPSHOT_BYTES) } },
    },
  };
  const startedAtMs = performance.now();
  let sentAtMs = -Infinity;
  const arrived = new Promise<boolean>((resolve) => {
    member.addHandler({
      onOpen() {}, onMessage: (_session, { kind }) => resolve(kind === 'consensus'), onClose() {},
    });
    const limit = setTimeout(() => resolve(false), LIMIT_MS);
    t.after(() => clearTimeout(limit));
  });
  const isSilent = (): boolean => performance.now() - startedAtMs >= timing.lostVoterMs;
  let reopened = 0;
  const watch = new GroupWatch({
    clock: () => performance.now(),
    consensus: {
      electionState: {
        role: 'leader', term: 1, lastIndex: 0, commitIndex: 0, voters: [], learners: [], votes: [],
      },
      isLeader: true,
      get silentMembers() {
        return isSilent() ? ['b#1'] : [];
      },
      get silentVms() {
        return isSilent() ? ['b'] : [];
      },
      timeSinceLeaderContactMs: 0,
    },
    hub: leader,
    log: { info() {}, warn() {} } as unknown as ConstructorParameters<typeof GroupWatch>[0]['log'],
    reopen: () => {
      reopened += 1;
      leader.reopen(address);
    },
  });
  leader.connect(address);
  const timer = setInterval(() => {
    watch.tick();
    // As `replicate` does.
    if (performance.now() - sentAtMs < timing.snapshotResendMs) return;
    if (leader.send('b', message)) sentAtMs = performance.now();
  }, 250);
  t.after(() => clearInterval(timer));
  assert.equal(await arrived, true, `not within ${LIMIT_MS} ms; ${reopened} sessions opened anew`);
});
