import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';

import type { Result } from 'ts-results';
import type Failure from '@guavayard/core/errors/Failure';
import type KeyOutcome from '@guavayard/core/idempotency/KeyOutcome';
import type StoredAnswer from '@guavayard/core/idempotency/StoredAnswer';
import Service from '@guavayard/core/types/Service';

import KeyCluster from './support/KeyCluster';
import type KeyNode from './support/KeyNode';

type Decision = Result<StoredAnswer | undefined, Failure>;

const KEY = 'key-1';
const MATCH = {
  routeName: 'all', serviceName: 'ledger', service: Service.parse({}), homeRegions: undefined,
};
const DONE: KeyOutcome = { kind: 'done', answer: { status: 200, headers: {}, body: Buffer.from('run 1') } };

interface PendingClaim {
  readonly decision: Promise<string>;
  readonly report: (outcome: KeyOutcome) => void;
}

function describeDecision(decision: Decision): string {
  if (decision.err) return decision.val.kind;
  return decision.val === undefined ? 'granted' : Buffer.from(decision.val.body).toString();
}

let claims = 0;

function claim(node: KeyNode, waitMs = 4000, fingerprint = 'same', key = KEY): PendingClaim {
  claims += 1;
  let report: PendingClaim['report'] = () => undefined;
  const decision = new Promise<string>((resolve) => {
    report = node.task.claim({
      key, fingerprint, claimId: `claim-${claims}`, match: MATCH, deadlineMs: node.now() + waitMs,
    }, (result) => resolve(describeDecision(result)));
  });
  return { decision, report };
}

async function start(t: TestContext, size = 6, version = 0): Promise<KeyCluster> {
  const cluster = new KeyCluster(size, version);
  t.after(() => cluster.close());
  await cluster.waitUntilSettled();
  return cluster;
}

/** Returns a node that stores no copy of the key. */
function findNonReplica(cluster: KeyCluster): KeyNode {
  const replicas = cluster.replicasOf(KEY);
  const node = cluster.nodes.find((candidate) => !replicas.includes(candidate));
  assert.ok(node !== undefined);
  return node;
}

async function runOnce(node: KeyNode): Promise<void> {
  const run = claim(node);
  assert.equal(await run.decision, 'granted');
  run.report(DONE);
}

/** A fault injected after a request has run on a node without a copy, and before its resend. */
interface Fault {
  readonly name: string;
  readonly inject: (cluster: KeyCluster, replicas: readonly KeyNode[]) => Promise<void> | void;
  /** The response or the kind of failure that the resend gets. */
  readonly resend: string;
}

const FAULTS: readonly Fault[] = [
  { name: 'no fault', inject: () => undefined, resend: 'run 1' },
  {
    name: 'the owner is killed',
    inject: (cluster, [owner]) => {
      owner?.kill();
      if (owner !== undefined) cluster.removeMembers(owner);
    },
    resend: 'run 1',
  },
  {
    name: 'two of three copies are killed at once',
    inject: (cluster, replicas) => {
      const lost = replicas.slice(0, 2);
      lost.forEach((node) => node.kill());
      cluster.removeMembers(...lost);
    },
    resend: 'run 1',
  },
  {
    name: 'a second copy is lost right after the first has been replaced',
    inject: async (cluster, [owner, backup]) => {
      if (owner === undefined || backup === undefined) return;
      owner.kill();
      cluster.removeMembers(owner);
      await cluster.waitUntilSettled();
      backup.kill();
      cluster.removeMembers(backup);
    },
    resend: 'run 1',
  },
  {
    name: 'all copies are killed at once',
    inject: (cluster, replicas) => {
      replicas.forEach((node) => node.kill());
      cluster.removeMembers(...replicas);
    },
    resend: 'keyOutcomeUnknown',
  },
  {
    name: 'all copies are lost before the first has been replaced',
    inject: (cluster, replicas) => {
      const [owner, ...backups] = replicas;
      if (owner === undefined) return;
      owner.kill();
      cluster.removeMembers(owner);
      backups.forEach((node) => node.kill());
      cluster.removeMembers(...backups);
    },
    resend: 'keyOutcomeUnknown',
  },
  {
    name: 'the nodes with a copy restart one after the other',
    inject: async (cluster, replicas) => {
      for (let index = 0; index < replicas.length; index += 1) {
        const node = replicas[index];
        assert.ok(node !== undefined);
        node.kill();
        cluster.removeMembers(node);
        cluster.add(node.identity.name, Number(node.identity.name.split('-')[1]));
        cluster.publish();
        // eslint-disable-next-line no-await-in-loop -- sequential
        await cluster.waitUntilSettled();
      }
    },
    resend: 'run 1',
  },
  {
    name: 'every entry restarts at the same time',
    inject: (cluster) => {
      cluster.restartAll();
    },
    resend: 'keyOutcomeUnknown',
  },
];

FAULTS.forEach(({ name, inject, resend }) => {
  test(`a resend after a run does not run again: ${name}`, async (t) => {
    const cluster = await start(t, 6, name.startsWith('every') ? 1 : 0);
    cluster.advanceClock(cluster.windowMs);
    const replicas = cluster.replicasOf(KEY);
    await runOnce(findNonReplica(cluster));
    await inject(cluster, replicas);
    const survivor = cluster.nodes.at(-1);
    assert.ok(survivor !== undefined);
    assert.equal(await claim(survivor).decision, resend);
    if (resend !== 'keyOutcomeUnknown') return;
    // After the window the key can be claimed again. Settles first, since a copy that is in transit
    // while the clock advances would carry its old remaining time.
    await cluster.waitUntilSettled();
    cluster.advanceClock(cluster.windowMs);
    assert.equal(await claim(survivor).decision, 'granted');
  });
});

test('of two entries that claim a key at once one runs it and the other gets its response', async (t) => {
  const cluster = await start(t);
  const [first, second] = cluster.nodes.slice(0, 2).map((node) => claim(node));
  assert.ok(first !== undefined && second !== undefined);
  const winner = await Promise.race([
    first.decision.then(() => first), second.decision.then(() => second),
  ]);
  assert.equal(await winner.decision, 'granted');
  winner.report(DONE);
  const loser = winner === first ? second : first;
  assert.equal(await loser.decision, 'run 1');
});

test('the same key with a different request is a conflict', async (t) => {
  const cluster = await start(t);
  await runOnce(findNonReplica(cluster));
  assert.equal(await claim(findNonReplica(cluster), 4000, 'another').decision, 'keyConflict');
});

test('a request that did not run releases its key', async (t) => {
  const cluster = await start(t);
  const run = claim(findNonReplica(cluster));
  assert.equal(await run.decision, 'granted');
  run.report({ kind: 'notRun' });
  assert.equal(await claim(findNonReplica(cluster)).decision, 'granted');
});

test('a resend waits for the run in progress, even after the owner is killed', async (t) => {
  const cluster = await start(t);
  const run = claim(findNonReplica(cluster));
  assert.equal(await run.decision, 'granted');
  const resend = claim(findNonReplica(cluster));
  const [owner] = cluster.replicasOf(KEY);
  assert.ok(owner !== undefined);
  owner.kill();
  cluster.removeMembers(owner);
  await cluster.waitUntilSettled();
  run.report(DONE);
  assert.equal(await resend.decision, 'run 1');
});

test('the outcome of a run whose entry is killed is unknown', async (t) => {
  const cluster = await start(t);
  const runner = findNonReplica(cluster);
  assert.equal(await claim(runner).decision, 'granted');
  runner.kill();
  cluster.removeMembers(runner);
  assert.equal(await claim(findNonReplica(cluster)).decision, 'keyOutcomeUnknown');
});

test('a claim whose owner is killed before granting it is granted by the next owner', async (t) => {
  const cluster = await start(t);
  const claimant = findNonReplica(cluster);
  const [owner] = cluster.replicasOf(KEY);
  assert.ok(owner !== undefined);
  cluster.cut(owner, claimant);
  const run = claim(claimant);
  owner.kill();
  cluster.removeMembers(owner);
  assert.equal(await run.decision, 'granted');
});

test('an owner that resumes after a pause grants nothing, even if it assumes that it has a lease', async (t) => {
  const cluster = await start(t);
  const [owner] = cluster.replicasOf(KEY);
  assert.ok(owner !== undefined);
  owner.pause();
  cluster.removeMembers(owner);
  await runOnce(findNonReplica(cluster));
  // It is reachable again before it has received the new membership.
  cluster.nodes.push(owner);
  owner.resume();
  assert.equal(await claim(owner, 300).decision, 'keyUnavailable');
  assert.equal(await claim(findNonReplica(cluster)).decision, 'run 1');
  // Once it is a member again, it has copied the updates that it missed.
  cluster.publish();
  assert.equal(await claim(owner).decision, 'run 1');
});

test('an owner paused while all copies moved to new entries grants nothing', async (t) => {
  const cluster = await start(t);
  const old = [...cluster.nodes];
  const keys = Array.from({ length: 1000 }, (_, index) => `key-${index}`);
  const ownersBefore = new Map(keys.map((key) => [key, cluster.replicasOf(key)[0]]));
  for (let index = 7; index <= 18; index += 1) cluster.add(`entry-${index}`, index);
  const key = keys.find((name) => cluster.replicasOf(name).every((node) => !old.includes(node)));
  const owner = ownersBefore.get(key ?? '');
  assert.ok(key !== undefined && owner !== undefined);
  owner.pause();
  cluster.nodes = cluster.nodes.filter((node) => node !== owner);
  cluster.publish();
  await cluster.waitUntilSettled();
  const run = claim(findNonReplica(cluster), 4000, 'same', key);
  assert.equal(await run.decision, 'granted');
  run.report(DONE);
  cluster.nodes.push(owner);
  owner.resume();
  assert.equal(await claim(owner, 300, 'same', key).decision, 'keyUnavailable');
});

test('an owner partitioned from a backup grants nothing until the partition heals', async (t) => {
  const cluster = await start(t);
  const [owner, , backup] = cluster.replicasOf(KEY);
  assert.ok(owner !== undefined && backup !== undefined);
  cluster.cut(owner, backup);
  assert.equal(await claim(findNonReplica(cluster), 300).decision, 'keyUnavailable');
  cluster.heal();
  assert.equal(await claim(findNonReplica(cluster)).decision, 'granted');
});

test('an entry without a lease neither claims nor grants keys', async (t) => {
  const cluster = await start(t);
  const [owner] = cluster.replicasOf(KEY);
  assert.ok(owner !== undefined);
  owner.hasLease = false;
  assert.equal(await claim(owner, 300).decision, 'keyUnavailable');
  assert.equal(await claim(findNonReplica(cluster), 300).decision, 'keyUnavailable');
});
