import assert from 'node:assert/strict';
import { once } from 'node:events';
import { performance } from 'node:perf_hooks';
import { test, type TestContext } from 'node:test';

import reservePort from '@guavayard/emulator/reservePort';

import type VmMessage from '../src/messages/VmMessage';
import QuotaControlTask from '../src/quota/QuotaControlTask';
import QuotaEntryTask from '../src/quota/QuotaEntryTask';
import createStartId from '../src/session/createStartId';
import type VmIdentity from '../src/session/VmIdentity';
import VmHub from '../src/session/VmHub';
import type VmSession from '../src/session/VmSession';
import createPeer from './support/createPeer';
import retryUntil from './support/retryUntil';

const RULE = { windowMs: 5000, overage: 0.1, slack: 20 };
const TENANT = {
  name: 'acme', label: 'acme', keyHashes: [], ratePerSecond: 5, burst: 5,
};
const CURRENT = '00.5';
const OLDER = '00.4';

interface FakeSession {
  readonly session: VmSession;
  readonly sent: VmMessage[];
}

function createSession(name: string, role: 'entry' | 'control', startId: string): FakeSession {
  const sent: VmMessage[] = [];
  const session = {
    peer: createPeer(name, [role], startId),
    send: (message: VmMessage) => sent.push(message),
    sendFrame: () => sent.push({ kind: 'quotaShares' } as VmMessage),
  } as unknown as VmSession;
  return { session, sent };
}

/** Opens a session and lets its entry subscribe. */
function subscribe(task: QuotaControlTask, { session }: FakeSession): void {
  task.onOpen(session, session.peer as VmIdentity);
  task.onMessage(session, { kind: 'registrySubscribe' });
}

function createControl(t: TestContext, tenants: readonly (typeof TENANT)[]): {
  readonly task: QuotaControlTask;
  readonly relayed: [VmMessage, number | undefined][];
  readonly run: (ms: number) => void;
} {
  let nowMs = 0;
  t.mock.timers.enable({ apis: ['setTimeout'] });
  const relayed: [VmMessage, number | undefined][] = [];
  const task = new QuotaControlTask({
    hub: { sendToControl: (message, version) => relayed.push([message, version]) },
    rule: RULE,
    tenants: () => tenants,
    clock: () => nowMs,
  });
  const run = (ms: number): void => {
    for (let passed = 0; passed < ms; passed += 10) {
      nowMs += 10;
      t.mock.timers.tick(10);
    }
  };
  // So long that it has counted a whole window.
  run(RULE.windowMs + 1000);
  return { task, relayed, run };
}

// Guards against messages that older builds close their sessions over.
test('VMs of older builds are sent nothing about quotas', (t) => {
  const { task, relayed, run } = createControl(t, [TENANT]);
  const entry = createSession('entry-1', 'entry', CURRENT);
  const older = [
    createSession('entry-2', 'entry', OLDER), createSession('control-2', 'control', OLDER),
  ];
  subscribe(task, entry);
  older.forEach((session) => subscribe(task, session));
  task.onMessage(entry.session, {
    kind: 'quotaUsage', sequence: 1, ageMs: 0, usage: { acme: [200, 200] },
  });
  run(500);
  assert.deepEqual(older.map(({ sent }) => sent.length), [0, 0]);
  assert.deepEqual([...new Set(entry.sent.map(({ kind }) => kind))], ['quotaConfirm', 'quotaShares']);
  assert.deepEqual(relayed.map(([{ kind }, version]) => [kind, version]), [['quotaTotals', 5]]);
});

test('without a tenant with a rate control sends nothing', (t) => {
  const { task, relayed, run } = createControl(t, [{ ...TENANT, ratePerSecond: 0 }]);
  const peers = [
    createSession('entry-1', 'entry', CURRENT), createSession('control-2', 'control', CURRENT),
  ];
  peers.forEach((session) => subscribe(task, session));
  run(2000);
  assert.deepEqual([peers.map(({ sent }) => sent.length), relayed.length], [[0, 0], 0]);
});

// Guards against bytes between regions for tenants that send nothing.
test('control passes on only what has changed', (t) => {
  const { task, relayed, run } = createControl(t, [TENANT]);
  const { session } = createSession('entry-1', 'entry', CURRENT);
  task.onMessage(session, {
    kind: 'quotaUsage', sequence: 1, ageMs: 0, usage: { acme: [2, 2] },
  });
  run(5000);
  assert.deepEqual(relayed.map(([message]) => message), [
    { kind: 'quotaTotals', totals: { acme: [2, 2] } },
  ]);
});

test('an entry reports to a control VM that understands it, and only requests of limited tenants', (t) => {
  t.mock.timers.enable({ apis: ['setTimeout'] });
  const versions: Record<string, number> = { 'control-1': 4, 'control-2': 5 };
  let nowMs = 0;
  const task = new QuotaEntryTask({
    hub: { protocolVersionOf: (name) => versions[name] ?? 0 },
    entryName: 'entry-1',
    rule: RULE,
    clock: () => nowMs,
    random: () => 0.5,
  });
  task.setEntries(['entry-1']);
  const older = createSession('control-1', 'control', OLDER);
  const control = createSession('control-2', 'control', CURRENT);
  [older, control].forEach(({ session }) => task.onOpen(session));
  const run = (ms: number): void => {
    nowMs += ms;
    t.mock.timers.tick(ms);
  };
  task.setSource('control-1');
  task.decide(TENANT);
  run(100);
  assert.equal(older.sent.length, 0);
  task.setSource('control-2');
  run(100);
  task.decide({ ...TENANT, name: 'free', ratePerSecond: 0 });
  run(1000);
  assert.deepEqual(control.sent, [{
    kind: 'quotaUsage', sequence: 1, ageMs: 200, usage: { acme: [1, 1] },
  }]);
  task.close();
});

interface Vm {
  readonly hub: VmHub;
  readonly identity: VmIdentity;
}

async function startVm(last: number, port: number, role: 'entry' | 'control'): Promise<Vm> {
  const identity = {
    ...createPeer(`127.0.0.${last}`, [role], createStartId()), address: `127.0.0.${last}:${port}`,
  };
  const hub = new VmHub('a key of the tests', identity);
  hub.netServer.listen(port, `127.0.0.${last}`);
  await once(hub.netServer, 'listening');
  return { hub, identity };
}

// Guards against frames that the peer refuses, and against limits that reach only some entries.
test('entries of different control VMs limit a tenant together, over real sessions', async (t) => {
  const port = await reservePort();
  const controls = [await startVm(2, port, 'control'), await startVm(3, port, 'control')];
  const entries = [await startVm(4, port, 'entry'), await startVm(5, port, 'entry')];
  const clock = (): number => performance.now();
  const tenants = [TENANT];
  const controlTasks = controls.map(({ hub }) => {
    const task = new QuotaControlTask({
      hub, rule: RULE, tenants: () => tenants, clock,
    });
    hub.addHandler(task);
    return task;
  });
  const tasks = entries.map(({ hub, identity }) => {
    const task = new QuotaEntryTask({
      hub, entryName: identity.name, rule: RULE, clock, random: Math.random,
    });
    hub.addHandler(task);
    return task;
  });
  t.after(() => {
    [...controlTasks, ...tasks].forEach((task) => task.close());
    [...controls, ...entries].forEach(({ hub }) => hub.close());
  });
  controls[0]?.hub.connect(controls[1]?.identity.address ?? '');
  entries.forEach(({ hub }, index) => hub.connect(controls[index]?.identity.address ?? ''));
  await retryUntil(() => {
    assert.ok(controls.every(({ hub }) => hub.namesOf('control').length === 1));
    assert.ok(entries.every(({ hub }) => hub.namesOf('control').length === 1));
  });
  entries.forEach(({ hub }, index) => (
    hub.send(controls[index]?.identity.name ?? '', { kind: 'registrySubscribe' })));
  tasks.forEach((task, index) => task.setSource(controls[index]?.identity.name));
  // All of it at one entry, and the other one has to know.
  for (let sent = 0; sent < 200; sent += 1) tasks[0]?.decide(TENANT);
  await retryUntil(() => {
    const decisions = tasks.flatMap((task) => (
      Array.from({ length: 10 }, () => task.decide(TENANT))));
    assert.deepEqual(decisions.filter(({ isAdmitted }) => isAdmitted), []);
  });
  assert.deepEqual(controlTasks.map(({ limitedCount }) => limitedCount), [1, 1]);
});
