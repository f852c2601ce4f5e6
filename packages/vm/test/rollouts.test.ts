import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createLogger } from 'bunyan';

import applyRegistryChange from '@guavayard/core/registry/applyRegistryChange';
import createRegistryState from '@guavayard/core/registry/createRegistryState';
import type RegisteredTarget from '@guavayard/core/registry/RegisteredTarget';
import type RegistryChange from '@guavayard/core/registry/RegistryChange';
import type RegistryState from '@guavayard/core/registry/RegistryState';

import type VmMessage from '../src/messages/VmMessage';
import RegistryStore from '../src/registry/RegistryStore';
import adaptUpdate from '../src/rollouts/adaptUpdate';
import adaptView from '../src/rollouts/adaptView';
import RolloutGate from '../src/rollouts/RolloutGate';
import RolloutReporter from '../src/rollouts/RolloutReporter';
import RolloutTask from '../src/rollouts/RolloutTask';
import RolloutTimes from '../src/rollouts/RolloutTimes';
import type VmSession from '../src/session/VmSession';
import RegistryGroup from './support/RegistryGroup';
import retryUntil from './support/retryUntil';

type Counts = Extract<VmMessage, { kind: 'rolloutCounts' }>;

const DURATION_MS = 12_000;
const START: RegistryChange = {
  kind: 'startRollout', service: 'lots', targetVersion: 'v2', durationMs: DURATION_MS, canaryShare: 0.03, orderedAtMs: 1000,
};
const SWITCH: RegistryChange = {
  kind: 'switchRollout', service: 'lots', number: 1, afterMs: 400,
};
const COMPLETE: RegistryChange = { kind: 'completeRollout', service: 'lots', number: 1 };
const ROLL_BACK: RegistryChange = { kind: 'rollBackRollout', service: 'lots', number: 1 };

function createTarget(id: string, version?: string): RegisteredTarget {
  return {
    id, service: 'lots', address: `${id}:80`, dataCentre: 'cork', slots: 2, state: 'ready', bornAtMs: 1, sequence: 1, coldLeftMs: 0, ...(version === undefined ? {} : { version }),
  };
}

const ANNOUNCEMENTS: RegistryChange[] = [
  { kind: 'announce', target: createTarget('10.0.0.1', 'v1') },
  { kind: 'announce', target: { ...createTarget('10.0.0.2', 'v2'), coldLeftMs: 3000 } },
];

function createState(...changes: readonly RegistryChange[]): RegistryState {
  const state = createRegistryState();
  changes.forEach((change) => applyRegistryChange(state, structuredClone(change)));
  return state;
}

// Guards against records that a member of the group cannot read, which would end its process, and
// against orders that are refused while a member is lost although all can read them.
[
  { name: 'all members know of roll-outs', versions: { a: 5, b: 5 }, isOpen: true },
  {
    name: 'the settings have no roll-outs', versions: { a: 5, b: 5 }, isEnabled: false, isOpen: false,
  },
  { name: 'a member is of an older build', versions: { a: 5, b: 4 }, isOpen: false },
  { name: 'a member cannot be reached', versions: { a: 5 }, isOpen: false },
  {
    name: 'a learner is of an older build', versions: { a: 5, b: 5, learner: 4 }, learners: ['learner'], isOpen: false,
  },
  {
    name: 'the group is not complete', versions: { a: 5, b: 5 }, voters: ['own', 'a'], isOpen: false,
  },
  {
    name: 'a member is lost and the log holds a version', versions: { a: 5 }, changes: ANNOUNCEMENTS, isOpen: true,
  },
].forEach(({
  name, versions, learners = [], voters = ['own', 'a', 'b'], changes = [], isEnabled = true, isOpen,
}) => {
  test(`the log ${isOpen ? 'may' : 'must not'} hold versions: ${name}`, () => {
    const known = new Map<string, number>(Object.entries(versions));
    const gate = new RolloutGate({
      consensus: { voterNames: voters, learnerNames: learners },
      hub: { protocolVersionOf: (peer) => known.get(peer) ?? 0 },
      ownName: 'own',
      requiredVoters: 3,
      isEnabled,
      state: () => createState(...changes),
    });
    assert.equal(gate.isOpen, isOpen);
  });
});

test('a group with members of older builds refuses orders', async (t) => {
  const group = new RegistryGroup();
  t.after(() => group.close());
  // The identities of the group tell no version of the messages.
  await group.start(3);
  const { task } = group.controls[0] ?? assert.fail();
  const service = {
    healthPath: '/', connectionLimit: 9, coldMs: 0, coldRequestsPerSecond: 1,
  };
  const limits = {
    maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
  };
  await retryUntil(async () => {
    const declaration = {
      version: 1, routes: {}, services: { lots: service }, limits, source: '',
    };
    assert.ok((await task.declare(declaration)).ok);
  });
  assert.ok((await task.announce(createTarget('10.0.0.1', 'v1'))).ok);
  const order = { service: 'lots', targetVersion: 'v2', durationMs: DURATION_MS };
  const outcomes = await Promise.all(group.controls
    .map(async (control) => control.task.startRollout(order)));
  outcomes.forEach((outcome) => assert.equal(outcome.err && outcome.val.kind, 'noQuorum'));
});

// Guards against entries of older builds that send to all targets that they know of.
[
  { name: 'without a roll-out', changes: [], ids: ['10.0.0.1', '10.0.0.2'] },
  { name: 'during the evaluation', changes: [START], ids: ['10.0.0.1'] },
  { name: 'after the switch', changes: [START, SWITCH], ids: ['10.0.0.2'] },
  { name: 'after the completion', changes: [START, SWITCH, COMPLETE], ids: ['10.0.0.2'] },
  { name: 'after a roll-back', changes: [START, ROLL_BACK], ids: ['10.0.0.1'] },
].forEach(({ name, changes, ids }) => {
  test(`entries of older builds know of the targets that serve ${name}`, () => {
    const store = new RegistryStore(() => 0, undefined, 0);
    ANNOUNCEMENTS.forEach((change, index) => store.apply(index, structuredClone(change)));
    store.collectUpdate();
    changes.forEach((change, index) => store.apply(10 + index, change));
    const view = adaptView(store.state, store.createView());
    assert.deepEqual(view.targets.map(({ id }) => id), ids);
    assert.deepEqual(Object.keys(view).includes('rollouts'), false);
    assert.ok(view.targets.every((target) => !('version' in target)));
    const update = store.collectUpdate();
    if (update === undefined) {
      assert.deepEqual(changes, []);
      return;
    }
    const adapted = adaptUpdate(store, update);
    assert.equal('rollouts' in adapted, false);
    assert.deepEqual(adapted.targets.map(({ id }) => id), ids);
    assert.equal(adapted.removedIds.length, 2 - ids.length);
    // A target that was hidden is still cold.
    adapted.targets.forEach(({ id, coldLeftMs }) => (
      assert.equal(coldLeftMs, id === '10.0.0.2' ? 3000 : 0)));
  });
});

test('entries are told of roll-outs, and how long it is until the switch', () => {
  let nowMs = 0;
  const store = new RegistryStore(() => nowMs, undefined, 0);
  ANNOUNCEMENTS.forEach((change, index) => store.apply(index, structuredClone(change)));
  store.apply(3, START);
  assert.equal(store.collectUpdate()?.rollouts?.[0]?.phase, 'running');
  store.apply(4, SWITCH);
  nowMs = 150;
  assert.equal(store.createView().rollouts?.[0]?.switchInMs, 250);
  nowMs = 900;
  assert.equal(store.createView().rollouts?.[0]?.switchInMs, 0);
});

// Guards against a leader that starts the phases anew because it has read an order from its disk.
test('the time since an order is that of the clock, or of the time of day after a restart', () => {
  let nowMs = 0;
  const state = createState(...ANNOUNCEMENTS, START);
  const live = new RolloutTimes(() => nowMs, () => 99_000);
  live.recordChange(START, state, true);
  const replayed = new RolloutTimes(() => nowMs, () => 7000 + nowMs);
  replayed.recordSnapshot(state);
  nowMs = 500;
  assert.equal(live.elapsedMs(state, 'lots'), 500);
  assert.equal(replayed.elapsedMs(state, 'lots'), 6500);
  assert.equal(replayed.elapsedMs(state, 'other'), Infinity);
});

interface TaskRig {
  readonly task: RolloutTask;
  readonly proposed: string[];
  readonly relayed: VmMessage[];
  advance: (ms: number) => void;
}

function createTask(isLeader: boolean): TaskRig {
  let nowMs = 0;
  const proposed: string[] = [];
  const relayed: VmMessage[] = [];
  const store = new RegistryStore(() => nowMs, createState(...ANNOUNCEMENTS), 0);
  store.apply(3, START);
  const task = new RolloutTask({
    consensus: {
      isLeader,
      hasCommittedInTerm: isLeader,
      leaderName: 'leader',
      propose: async (command) => {
        if (command.kind !== 'registry') return false;
        proposed.push(command.change.kind);
        store.apply(4, command.change);
        return true;
      },
    },
    store,
    hub: {
      protocolVersionOf: () => 5,
      send: (_name, message) => relayed.push(message) > 0,
    },
    log: createLogger({ name: 'test', streams: [] }),
    clock: () => nowMs,
    limits: { share: 0.1, slack: 50 },
    entries: () => undefined,
  });
  return {
    task,
    proposed,
    relayed,
    advance: (ms) => {
      for (let passedMs = 0; passedMs < ms; passedMs += 100) {
        nowMs += 100;
        task.tick();
      }
    },
  };
}

function createCounts(sequence: number, failed: number): Counts {
  const cell = { route: 'r', dataCentre: 'cork' };
  const good = (3 - failed) * sequence;
  return {
    kind: 'rolloutCounts',
    entry: 'e',
    isRelayed: false,
    counts: {
      startId: 's',
      sequence,
      service: 'lots',
      number: 1,
      requests: 100 * sequence,
      sent: 3 * sequence,
      baseInFlight: 0,
      hasSwitched: false,
      cells: [
        {
          ...cell, isTargetVersion: false, failed: 0, latencies: [0, 0, 0, 0, 97 * sequence],
        },
        {
          ...cell, isTargetVersion: true, failed: failed * sequence, latencies: [0, 0, 0, 0, good],
        },
      ],
    },
  };
}

// Guards against a leader that does not act on what entries report.
[
  {
    name: 'a version that fails', failed: 3, forMs: 4000, steps: ['rollBackRollout'],
  },
  {
    name: 'a good version', failed: 0, forMs: 13_000, steps: ['switchRollout', 'completeRollout'],
  },
].forEach(({
  name, failed, forMs, steps,
}) => {
  test(`the leader judges ${name}`, async () => {
    const { task, proposed, advance } = createTask(true);
    for (let sequence = 1; sequence <= forMs / 300; sequence += 1) {
      task.onMessage(undefined as unknown as VmSession, createCounts(sequence, failed));
      advance(300);
      // eslint-disable-next-line no-await-in-loop -- proposals end
      await Promise.resolve();
      // eslint-disable-next-line no-await-in-loop
      await new Promise(setImmediate);
    }
    assert.deepEqual(proposed, steps);
  });
});

test('a version without any response is rolled back at the deadline', async () => {
  const { proposed, advance } = createTask(true);
  advance(DURATION_MS - 100);
  assert.deepEqual(proposed, []);
  advance(200);
  assert.deepEqual(proposed, ['rollBackRollout']);
});

// Guards against messages that circle between VMs that take each other for the leader.
test('counts are passed on to the leader once', () => {
  const { task, relayed, proposed } = createTask(false);
  const session = undefined as unknown as VmSession;
  task.onMessage(session, createCounts(1, 0));
  task.onMessage(session, { ...createCounts(2, 0), isRelayed: true });
  task.tick();
  assert.deepEqual(relayed, [{ ...createCounts(1, 0), isRelayed: true }]);
  assert.deepEqual(proposed, []);
});

test('an entry reports new counts, and old ones less often', () => {
  let nowMs = 0;
  let requests = 0;
  const sent: VmMessage[] = [];
  const reporter = new RolloutReporter({
    clock: () => nowMs,
    name: 'e',
    startId: 's',
    list: () => [{
      service: 'lots', number: 1, requests, sent: 0, baseInFlight: 0, hasSwitched: false, cells: [],
    }],
    send: (message) => sent.push(message),
  });
  const run = (ms: number, isBusy: boolean): number => {
    const before = sent.length;
    for (let passedMs = 0; passedMs < ms; passedMs += 100) {
      nowMs += 100;
      if (isBusy) requests += 1;
      reporter.report();
    }
    return sent.length - before;
  };
  assert.equal(run(3000, true), 15);
  assert.ok(run(3000, false) <= 4);
});
