import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';

import type Declaration from '@guavayard/core/registry/Declaration';
import type RegisteredTarget from '@guavayard/core/registry/RegisteredTarget';

import PresenceTable from '../src/registry/PresenceTable';
import RegistryStore from '../src/registry/RegistryStore';
import RegistryGroup from './support/RegistryGroup';
import retryUntil from './support/retryUntil';

const TARGET: RegisteredTarget = {
  id: 't-1',
  service: 'lots',
  address: '10.0.0.1:80',
  dataCentre: 'cork',
  slots: 2,
  state: 'ready',
  bornAtMs: 1000,
  sequence: 1,
  coldLeftMs: 0,
};

function createDeclaration(version: number): Declaration {
  return {
    version,
    routes: {},
    services: {},
    limits: {
      maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
    },
    source: `version ${version}`,
  };
}

async function startGroup(
  t: TestContext,
  size: number,
  requiredVoters = size,
): Promise<RegistryGroup> {
  const group = new RegistryGroup();
  t.after(() => group.close());
  await group.start(size, requiredVoters);
  return group;
}

test('seeds form a group, and any of its members accepts a declaration', async (t) => {
  const group = await startGroup(t, 3);
  await retryUntil(async () => {
    assert.equal((await group.controls[1]?.task.declare(createDeclaration(5)))?.ok, true);
  });
  await retryUntil(async () => {
    const read = await Promise.all(group.controls.map(async ({ task }) => task.readDeclaration()));
    read.forEach((source) => assert.equal(source.val, 'version 5'));
  });
});

test('an equal or lower declaration version is acknowledged without effect', async (t) => {
  const group = await startGroup(t, 3);
  const [control] = group.controls;
  await retryUntil(async () => {
    assert.equal((await control?.task.declare(createDeclaration(5)))?.ok, true);
  });
  assert.equal((await control?.task.declare(createDeclaration(5)))?.ok, true);
  assert.equal((await control?.task.declare(createDeclaration(4)))?.ok, true);
  assert.equal((await control?.task.readDeclaration())?.val, 'version 5');
});

test('no declaration is accepted before the required number of voters have joined', async (t) => {
  const group = await startGroup(t, 3, 4);
  const [control] = group.controls;
  await retryUntil(async () => assert.equal(control?.task.isCurrent, true));
  assert.equal((await control?.task.declare(createDeclaration(5)))?.ok, false);
  await group.join(5);
  await retryUntil(async () => {
    assert.equal((await control?.task.declare(createDeclaration(5)))?.ok, true);
  });
});

// Guards against an acknowledgement that any commit gives while there is no declaration.
test('the lowest version is not acknowledged before it is applied', async (t) => {
  const group = await startGroup(t, 1, 2);
  const [control] = group.controls;
  const result = await control?.task.declare(createDeclaration(0));
  assert.equal(control?.task.isCurrent, true);
  assert.equal(result?.ok, false);
});

test('an entry receives registry changes, also after a control VM has stopped', async (t) => {
  const group = await startGroup(t, 3);
  const subscription = await group.startEntry(20);
  await retryUntil(async () => {
    assert.equal((await group.controls[0]?.task.declare(createDeclaration(1)))?.ok, true);
    assert.equal((await group.controls[0]?.task.announce(TARGET))?.ok, true);
  });
  await retryUntil(async () => {
    assert.equal(subscription.declaration?.version, 1);
    assert.equal(subscription.targets.get('t-1')?.state, 'ready');
  });
  RegistryGroup.stop(group.controls[0]);
  await retryUntil(async () => {
    assert.equal((await group.controls[1]?.task.withdraw('t-1'))?.ok, true);
    assert.equal((await group.controls[2]?.task.evacuate('cork', true))?.ok, true);
  });
  await retryUntil(async () => {
    assert.equal(subscription.targets.size, 0);
    assert.equal(subscription.evacuated.has('cork'), true);
  });
});

test('a leader whose disk hangs is no longer current and is replaced', async (t) => {
  const group = await startGroup(t, 3);
  const subscription = await group.startEntry(20);
  await retryUntil(async () => {
    assert.equal((await group.controls[0]?.task.declare(createDeclaration(1)))?.ok, true);
  });
  const leader = group.controls.find(({ task }) => task.isLeader);
  const others = group.controls.filter((control) => control !== leader);
  leader?.stallDisk();
  // The hang is only detected when a change is written.
  await leader?.task.declare(createDeclaration(2));
  await retryUntil(() => assert.equal(leader?.task.isCurrent, false));
  await retryUntil(async () => {
    assert.equal((await others[0]?.task.declare(createDeclaration(3)))?.ok, true);
  });
  await retryUntil(() => assert.equal(subscription.declaration?.version, 3));
});

test('an entry that connects before control has started follows it once started', async (t) => {
  const group = new RegistryGroup();
  t.after(() => group.close());
  let startTasks = (): void => undefined;
  await group.start(3, 3, new Promise((resolve) => {
    startTasks = resolve;
  }));
  const subscription = await group.startEntry(20);
  await retryUntil(() => group.controls.forEach(({ hub }) => {
    assert.deepEqual(hub.namesOf('entry'), ['127.0.0.20']);
  }));
  startTasks();
  await retryUntil(() => assert.equal(subscription.isFollowing, true));
});

test('a control VM that cannot reach a leader acknowledges no change', async (t) => {
  const group = await startGroup(t, 3);
  const [, second, last] = group.controls;
  await retryUntil(async () => assert.equal((await last?.task.announce(TARGET))?.ok, true));
  [group.controls[0], second].forEach((control) => RegistryGroup.stop(control));
  await retryUntil(async () => {
    assert.equal((await last?.task.announce({ ...TARGET, sequence: 2 }))?.ok, false);
  });
  assert.equal((await last?.task.readDeclaration())?.ok, false);
});

test('a view contains the remaining cold time of a target', () => {
  let nowMs = 0;
  const store = new RegistryStore(() => nowMs, undefined, 0);
  store.apply(1, { kind: 'announce', target: { ...TARGET, coldLeftMs: 3000 } });
  nowMs = 1000;
  assert.equal(store.createView().targets[0]?.coldLeftMs, 2000);
  nowMs = 4000;
  assert.equal(store.createView().targets[0]?.coldLeftMs, 0);
});

test('a target announced cold before a restart of control is warm afterwards', async (t) => {
  const group = new RegistryGroup();
  t.after(() => group.close());
  const target = { ...TARGET, coldLeftMs: 3000 };
  const change = { kind: 'announce' as const, target };
  await group.restart({ term: 1, log: [{ index: 1, term: 1, command: { kind: 'registry', change } }] });
  const entry = await group.startEntry(20);
  await retryUntil(() => assert.equal(entry.targets.get('t-1')?.coldLeftMs, 0));
});

test('a crash report of one entry reaches every other entry exactly once', async (t) => {
  const group = await startGroup(t, 3);
  const seen: string[] = [];
  const reporter = await group.startEntry(20, (fingerprint) => seen.push(`20 ${fingerprint}`));
  const others = await Promise.all([21, 22, 23].map(async (last) => (
    group.startEntry(last, (fingerprint) => seen.push(`${last} ${fingerprint}`)))));
  await retryUntil(() => {
    [reporter, ...others].forEach(({ isFollowing }) => assert.equal(isFollowing, true));
  });
  reporter.reportCrash('a', 't-1');
  await retryUntil(() => assert.equal(seen.length, 3));
  reporter.reportCrash('b', 't-1');
  await retryUntil(() => assert.equal(seen.length, 6));
  assert.deepEqual(seen.sort(), ['21 a', '21 b', '22 a', '22 b', '23 a', '23 b']);
});

test('an update contains each change once, including removed targets', () => {
  const store = new RegistryStore(() => 0, undefined, 0);
  store.apply(1, { kind: 'announce', target: TARGET });
  store.apply(2, { kind: 'announce', target: { ...TARGET, id: 't-2', bornAtMs: 2000 } });
  const update = store.collectUpdate();
  assert.deepEqual(update?.targets.map(({ id }) => id), ['t-2']);
  assert.deepEqual(update?.removedIds, ['t-1']);
  assert.equal(store.collectUpdate(), undefined);
});

test('entries do not receive the source of a declaration', () => {
  const store = new RegistryStore(() => 0, undefined, 0);
  store.apply(1, { kind: 'declare', declaration: createDeclaration(1) });
  assert.equal(store.collectUpdate()?.declaration?.source, '');
  assert.equal(store.state.declaration?.source, 'version 1');
});

test('a new leader restarts the timeouts of targets', () => {
  let nowMs = 0;
  const presence = new PresenceTable(() => nowMs, 1000);
  const state = {
    declaration: undefined, evacuated: [], targets: { 't-1': TARGET }, ended: {},
  };
  presence.recordContact(['t-1'], []);
  nowMs = 1500;
  assert.deepEqual(presence.findExpiredTargets(state), ['t-1']);
  presence.reset([]);
  assert.deepEqual(presence.findExpiredTargets(state), []);
  nowMs = 2400;
  assert.deepEqual(presence.findExpiredTargets(state), []);
  nowMs = 2600;
  assert.deepEqual(presence.findExpiredTargets(state), ['t-1']);
});
