import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';

import PauseDetector from '@guavayard/core/clock/PauseDetector';
import createRegistryState from '@guavayard/core/registry/createRegistryState';
import isOvertaken from '@guavayard/core/registry/isOvertaken';
import type RegisteredTarget from '@guavayard/core/registry/RegisteredTarget';

import type ControlCall from '../src/control/ControlCall';
import adaptCall from '../src/control/adaptCall';
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

async function startGroup(t: TestContext): Promise<RegistryGroup> {
  const group = new RegistryGroup();
  t.after(() => group.close());
  await group.start(3);
  return group;
}

/** Sends a call to every VM, as if it had waited on its way; only the leader carries it out. */
function sendLate(group: RegistryGroup, call: ControlCall): void {
  const [{ name, hub }] = group.controls.slice(-1) as [RegistryGroup['controls'][number]];
  group.controls.filter((control) => control.name !== name)
    .forEach((control) => hub.send(control.name, { kind: 'controlCall', callId: 1_000_000, call }));
}

async function awaitNext(group: RegistryGroup, dataCentre: string): Promise<void> {
  await retryUntil(async () => {
    assert.equal((await group.controls[0]?.task.evacuate(dataCentre, true))?.ok, true);
  });
}

// Guards against an order that waited on its way and undid a later one.
test('an order to restore that is older than the evacuation in force is not carried out', async (t) => {
  const group = await startGroup(t);
  const entry = await group.startEntry(20);
  await awaitNext(group, 'cork');
  sendLate(group, { kind: 'change', change: { kind: 'restore', dataCentre: 'cork' }, basis: 0 });
  await awaitNext(group, 'dublin');
  await retryUntil(async () => assert.equal(entry.evacuated.has('dublin'), true));
  assert.equal(entry.evacuated.has('cork'), true);
});

test('an order to restore that was received after the evacuation is carried out', async (t) => {
  const group = await startGroup(t);
  const entry = await group.startEntry(20);
  await awaitNext(group, 'cork');
  await retryUntil(async () => {
    const results = await Promise.all(group.controls.map(async ({ task }) => task.evacuate('cork', false)));
    results.forEach((result) => assert.equal(result.ok, true));
  });
  await retryUntil(async () => assert.equal(entry.evacuated.has('cork'), false));
});

test('a withdrawal of a former life of a target does not remove the next one', async (t) => {
  const group = await startGroup(t);
  const entry = await group.startEntry(20);
  const [control] = group.controls;
  await retryUntil(async () => assert.equal((await control?.task.announce(TARGET))?.ok, true));
  assert.equal((await control?.task.withdraw('t-1'))?.ok, true);
  assert.equal((await control?.task.announce({ ...TARGET, bornAtMs: 2000 }))?.ok, true);
  sendLate(group, { kind: 'change', change: { kind: 'withdraw', targetId: 't-1' }, basis: 2 });
  await awaitNext(group, 'dublin');
  await retryUntil(async () => assert.equal(entry.evacuated.has('dublin'), true));
  assert.equal(entry.targets.get('t-1')?.bornAtMs, 2000);
});

test('a call whose caller has gone is not carried out', async (t) => {
  const group = await startGroup(t);
  await awaitNext(group, 'cork');
  const result = await group.controls[0]?.task.evacuate('cork', false, () => true);
  assert.equal(result?.err && result.val.kind, 'overtaken');
});

test('calls that are read right after a pause may be old', () => {
  const pauses = new PauseDetector(0);
  pauses.tick(250);
  assert.equal(pauses.hasJustResumed(600), false);
  assert.equal(pauses.hasJustResumed(4250), true);
  pauses.tick(4300);
  assert.equal(pauses.hasJustResumed(4500), true);
  for (let nowMs = 4550; nowMs <= 5300; nowMs += 250) pauses.tick(nowMs);
  assert.equal(pauses.hasJustResumed(5300), false);
});

test('a late order without effect is acknowledged', () => {
  const state = { ...createRegistryState(), evacuated: ['cork'] };
  assert.equal(isOvertaken(state, { kind: 'evacuate', dataCentre: 'cork' }, 9, 3), false);
  assert.equal(isOvertaken(state, { kind: 'restore', dataCentre: 'cork' }, 9, 3), true);
  assert.equal(isOvertaken(state, { kind: 'restore', dataCentre: 'cork' }, 9, 9), false);
  assert.equal(isOvertaken(state, { kind: 'withdraw', targetId: 'toString' }, 9, 3), false);
});

test('a leader of an older build gets no basis', () => {
  const change = { kind: 'restore', dataCentre: 'cork' } as const;
  assert.deepEqual(adaptCall({ kind: 'change', change, basis: 4 }, 1), { kind: 'change', change });
  assert.deepEqual(adaptCall({ kind: 'change', change, basis: 4 }, 3)?.kind, 'change');
});
